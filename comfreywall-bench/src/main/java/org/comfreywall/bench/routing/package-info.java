/**
 * Measurements of routing on seeded arrivals and a queueing model of backend servers.
 */
package org.comfreywall.bench.routing;
