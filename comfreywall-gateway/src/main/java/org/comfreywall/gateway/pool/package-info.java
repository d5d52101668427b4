/**
 * Load balancing and admission control over the backend servers of one service: decides
 * which server gets a request, which requests are queued and which are rejected. Performs
 * no I/O and starts no threads.
 */
package org.comfreywall.gateway.pool;
