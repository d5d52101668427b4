package org.comfreywall.gateway.pool;

import java.util.Optional;
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
 * @param size its size, if the caller stated it
 */
public record WaitingRequest(long id, int priority, boolean rejectedBefore, long arrival, long latestStart,
		Set<String> excluded, Optional<RequestSize> size) {

	public WaitingRequest {
		excluded = Set.copyOf(Preconditions.notNull(excluded, "excluded"));
		Preconditions.notNull(size, "size");
	}

	/**
	 * Creates a request of unknown size.
	 * @param id the identifier, unique at this entry
	 * @param priority the priority; 0 is the highest
	 * @param rejectedBefore whether it was rejected before
	 * @param arrival the time of arrival in nanoseconds
	 * @param latestStart the time in nanoseconds after which it is rejected
	 * @param excluded the identifiers of servers that it must not be sent to
	 */
	public WaitingRequest(long id, int priority, boolean rejectedBefore, long arrival, long latestStart,
			Set<String> excluded) {
		this(id, priority, rejectedBefore, arrival, latestStart, excluded, Optional.empty());
	}

}
