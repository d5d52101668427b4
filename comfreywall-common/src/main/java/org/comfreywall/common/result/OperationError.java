package org.comfreywall.common.result;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The error of a failed operation, with the processing step and peer at which it
 * occurred.
 *
 * @param code the kind of error
 * @param step the processing step in which the error occurred
 * @param peer the instance on which the error occurred, or empty for the local one
 * @param message the description of the error and of how to resolve it
 */
public record OperationError(ErrorCode code, Step step, Optional<InstanceId> peer, String message) {

	public OperationError {
		Preconditions.notNull(code, "code");
		Preconditions.notNull(step, "step");
		Preconditions.notNull(peer, "peer");
		Preconditions.notBlank(message, "message");
	}

	/**
	 * Creates an error that occurred locally.
	 * @param code the kind of error
	 * @param step the processing step in which it occurred
	 * @param message the description of the error
	 * @return the error
	 */
	public static OperationError local(ErrorCode code, Step step, String message) {
		return new OperationError(code, step, Optional.empty(), message);
	}

	/**
	 * Creates an error that occurred on a peer.
	 * @param code the kind of error
	 * @param step the processing step in which it occurred
	 * @param peer the instance on which it occurred
	 * @param message the description of the error
	 * @return the error
	 */
	public static OperationError atPeer(ErrorCode code, Step step, InstanceId peer, String message) {
		return new OperationError(code, step, Optional.of(peer), message);
	}

}
