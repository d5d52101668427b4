package org.comfreywall.control.runtime;

import java.util.concurrent.CompletableFuture;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.LogPosition;

/**
 * A proposal that has not completed.
 *
 * @param future receives the answer
 * @param submittedAt the monotonic clock's reading at submission, in nanoseconds
 * @param position its position in the log, or {@link LogPosition#ORIGIN} before one is
 * assigned
 */
record PendingProposal(CompletableFuture<Result<Bytes>> future, long submittedAt, LogPosition position) {

	PendingProposal withPosition(LogPosition assigned) {
		return new PendingProposal(this.future, this.submittedAt, assigned);
	}

	boolean hasPosition(LogPosition other) {
		return this.position.equals(other);
	}

	void complete(Result<Bytes> answer) {
		this.future.complete(answer);
	}

	void fail(OperationError error) {
		this.future.complete(Result.failure(error));
	}

}
