/**
 * Detection of requests and prompt parts that crash the backend servers that run them.
 */
package org.comfreywall.gateway.poison;
