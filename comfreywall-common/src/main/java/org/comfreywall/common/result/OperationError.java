package org.comfreywall.common.result;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Describes why an operation failed, at which step and at which peer.
 *
 * @param code the kind of error
 * @param step the step of processing in which the error arose
 * @param peer the instance at which the error arose, or empty if it arose locally
 * @param message what happened and what to do next
 */
public record OperationError(ErrorCode code, Step step, Optional<InstanceId> peer, String message) {

	public OperationError {
		Preconditions.notNull(code, "code");
		Preconditions.notNull(step, "step");
		Preconditions.notNull(peer, "peer");
		Preconditions.notBlank(message, "message");
	}

	/**
	 * Creates an error that arose locally.
	 * @param code the kind of error
	 * @param step the step in which it arose
	 * @param message what happened
	 * @return the error
	 */
	public static OperationError local(ErrorCode code, Step step, String message) {
		return new OperationError(code, step, Optional.empty(), message);
	}

	/**
	 * Creates an error that arose at a peer.
	 * @param code the kind of error
	 * @param step the step in which it arose
	 * @param peer the instance at which it arose
	 * @param message what happened
	 * @return the error
	 */
	public static OperationError at(ErrorCode code, Step step, InstanceId peer, String message) {
		return new OperationError(code, step, Optional.of(peer), message);
	}

}
