/**
 * The configuration of a gateway, with lookup of routes, services and client accounts.
 */
package org.comfreywall.gateway.config;
