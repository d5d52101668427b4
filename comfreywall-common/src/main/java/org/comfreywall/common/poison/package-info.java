/**
 * Detection and isolation of requests that crash backend servers.
 */
package org.comfreywall.common.poison;
