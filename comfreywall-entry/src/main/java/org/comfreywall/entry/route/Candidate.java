package org.comfreywall.entry.route;

import org.comfreywall.entry.kv.KvPlan;

/**
 * A backend server with its expected time to first token for one request.
 *
 * @param server the server
 * @param expectedNanos the expected time to first token in nanoseconds
 * @param waitNanos the part of it before the server starts to compute the prompt: network
 * round trip, queued prompt tokens and wait for a free slot
 * @param cachedTokens the expected number of prompt tokens that the server holds
 * @param uncachedTokens the expected number of prompt tokens that it must compute
 * @param kvPlan how the server obtains the key-value cache that it lacks
 */
record Candidate(ServerState server, double expectedNanos, double waitNanos, double cachedTokens, double uncachedTokens,
		KvPlan kvPlan) {

}
