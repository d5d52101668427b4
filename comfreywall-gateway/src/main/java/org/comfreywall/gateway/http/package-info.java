/**
 * HTTP connections to callers and backend servers, and forwarding of requests and
 * responses between them.
 */
package org.comfreywall.gateway.http;
