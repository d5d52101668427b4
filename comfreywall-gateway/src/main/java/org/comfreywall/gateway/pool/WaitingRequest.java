package org.comfreywall.gateway.pool;

import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * A request that needs a slot of a backend server.
 *
 * @param id the identifier, unique at this entry
 * @param priority the priority; 0 is the highest
 * @param rejectedBefore whether it was rejected before, so that it can no longer be on
 * time
 * @param arrival the time of arrival in nanoseconds
 * @param latestStart the time in nanoseconds after which it is rejected if not started
 * @param excluded the identifiers of servers that it must not be sent to
 */
public record WaitingRequest(long id, int priority, boolean rejectedBefore, long arrival, long latestStart,
		Set<String> excluded) {

	public WaitingRequest {
		excluded = Set.copyOf(Preconditions.notNull(excluded, "excluded"));
	}

}
