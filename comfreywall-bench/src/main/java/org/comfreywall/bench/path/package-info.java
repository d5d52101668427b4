/**
 * Measures the request path through entry and sidecar over loopback.
 */
package org.comfreywall.bench.path;
