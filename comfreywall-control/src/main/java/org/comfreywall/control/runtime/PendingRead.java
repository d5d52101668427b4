package org.comfreywall.control.runtime;

import java.util.function.Consumer;

import org.comfreywall.common.result.OperationError;

/**
 * A read that waits until the applied state is recent enough.
 *
 * @param action reads the state and completes the caller's future
 * @param onError fails the caller's future
 * @param submittedAt the monotonic clock's reading at submission, in nanoseconds
 */
record PendingRead(Runnable action, Consumer<OperationError> onError, long submittedAt) {

	void run() {
		this.action.run();
	}

	void fail(OperationError error) {
		this.onError.accept(error);
	}

}
