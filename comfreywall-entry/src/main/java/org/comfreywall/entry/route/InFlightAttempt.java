package org.comfreywall.entry.route;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AttemptId;

/**
 * An attempt that was sent and has not ended.
 *
 * @param attempt the attempt
 * @param server the backend server that it was sent to
 * @param priority its priority class
 * @param uncachedTokens the prompt tokens that the server must compute
 * @param sentAt when it was sent, in nanoseconds
 */
record InFlightAttempt(AttemptId attempt, ServerState server, PriorityClass priority, long uncachedTokens,
		long sentAt) {

	InFlightAttempt withPromptComputed() {
		return new InFlightAttempt(this.attempt, this.server, this.priority, 0, this.sentAt);
	}

}
