package org.comfreywall.control.runtime;

import java.util.concurrent.CompletableFuture;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.LogPosition;

/**
 * A proposal whose outcome is awaited.
 *
 * @param future receives the answer
 * @param since the clock reading at which it was submitted
 * @param position its position in the log, or the origin while it has none
 */
record PendingProposal(CompletableFuture<Result<Bytes>> future, long since, LogPosition position) {

	PendingProposal at(LogPosition taken) {
		return new PendingProposal(this.future, this.since, taken);
	}

	boolean isAt(LogPosition other) {
		return this.position.equals(other);
	}

	void complete(Result<Bytes> answer) {
		this.future.complete(answer);
	}

	void fail(OperationError error) {
		this.future.complete(Result.failure(error));
	}

}
