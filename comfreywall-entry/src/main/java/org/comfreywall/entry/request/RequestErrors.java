package org.comfreywall.entry.request;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;

/**
 * Errors that a request can end with.
 */
final class RequestErrors {

	private RequestErrors() {
	}

	static OperationError keyMissing() {
		return error(ErrorCode.INVALID_INPUT, Step.ACCEPT,
				"The service requires an idempotency key for this request; send it again with one");
	}

	static OperationError keyReused() {
		return error(ErrorCode.CONFLICT, Step.CLAIM,
				"The idempotency key was used with another body; choose a new key for a new request");
	}

	static OperationError earlierRequestUnknown() {
		return error(ErrorCode.CONFLICT, Step.CLAIM,
				"An earlier request with this idempotency key may or may not have run");
	}

	static OperationError quarantined() {
		return error(ErrorCode.QUARANTINED, Step.ADMIT, "The request is quarantined because backend servers were lost "
				+ "while they ran it; change it, or ask the operator to clear it");
	}

	static OperationError deadlineExceeded() {
		return error(ErrorCode.DEADLINE_EXCEEDED, Step.ANSWER, "The caller's deadline passed");
	}

	static OperationError cancelled() {
		return error(ErrorCode.CANCELLED, Step.ANSWER, "The caller cancelled the request or disconnected");
	}

	static OperationError mayRunTwice() {
		return error(ErrorCode.INVARIANT, Step.SEND,
				"Another attempt could run a non-idempotent request twice and was not sent");
	}

	static OperationError sealTimedOut() {
		return error(ErrorCode.CONNECTION_LOST, Step.SEAL,
				"The sidecar did not respond to the seal in time; the attempt may have started");
	}

	static OperationError atBackendServer(ErrorCode code, Step step, FollowedAttempt source, String message) {
		return OperationError.atPeer(code, step, InstanceId.of(source.backendServer().value()), message);
	}

	private static OperationError error(ErrorCode code, Step step, String message) {
		return OperationError.local(code, step, message);
	}

}
