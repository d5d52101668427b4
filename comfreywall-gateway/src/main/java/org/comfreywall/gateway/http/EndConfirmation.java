package org.comfreywall.gateway.http;

import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * The question to another backend server whether a stream whose end was not marked has
 * further events.
 *
 * @param lastEvent the identifier of the last event before that end
 */
record EndConfirmation(String lastEvent) {

	/** Refusals for these reasons say that servers have failed. */
	private static final Set<String> FAULTS = Set.of("group-fault", "no-server", "no-connection", "poison");

	EndConfirmation {
		Preconditions.notNull(lastEvent, "lastEvent");
	}

	/**
	 * Returns whether the stream had further events.
	 * @param lastId the identifier of the last event so far
	 * @return {@code true} if the server that was asked has sent one
	 */
	boolean isRefuted(Optional<String> lastId) {
		return !lastId.equals(Optional.of(this.lastEvent));
	}

	/**
	 * Returns whether the end is believed if the question gets no answer. An overloaded
	 * service gives no reason to doubt it, a server that failed in the same moment does.
	 * @param reason the reason for which the request was given up
	 * @return {@code false} for a fault of servers
	 */
	static boolean isBelievedAfter(String reason) {
		return !FAULTS.contains(reason);
	}

}
