package org.comfreywall.entry.route;

import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.kv.KvPlan;

/**
 * A chosen backend server.
 *
 * @param server the backend server
 * @param incarnation the incarnation that the attempt must be addressed to
 * @param expectedNanos the expected time to first token in nanoseconds
 * @param uncachedTokens the expected number of prompt tokens that the server must compute
 * @param kvPlan how the server obtains the key-value cache that it lacks
 * @param record the decision with its inputs
 */
public record RouteChoice(BackendServerId server, Incarnation incarnation, long expectedNanos, long uncachedTokens,
		KvPlan kvPlan, DecisionRecord record) {

	public RouteChoice {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(kvPlan, "kvPlan");
		Preconditions.notNull(record, "record");
		Preconditions.check(expectedNanos >= 0, "expectedNanos must not be negative: %d", expectedNanos);
		Preconditions.check(uncachedTokens >= 0, "uncachedTokens must not be negative: %d", uncachedTokens);
	}

}
