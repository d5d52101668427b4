/**
 * Measures the way of a request through entry and sidecar on loopback.
 */
package org.comfreywall.bench.path;
