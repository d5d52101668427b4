/**
 * Measurements of routing with seeded workloads and simulated backend servers.
 */
package org.comfreywall.bench.routing;
