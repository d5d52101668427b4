package org.comfreywall.transport.attempt;

import io.reactivex.rxjava3.core.SingleEmitter;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.transport.OperationException;
import org.comfreywall.transport.generated.SealResult;

/**
 * Waits for a sidecar's answer to a seal.
 */
final class SealWaiter {

	private final SingleEmitter<SealResult> emitter;

	SealWaiter(SingleEmitter<SealResult> emitter) {
		this.emitter = emitter;
	}

	void complete(SealResult result) {
		this.emitter.onSuccess(result);
	}

	void fail(OperationError error) {
		this.emitter.tryOnError(new OperationException(error));
	}

}
