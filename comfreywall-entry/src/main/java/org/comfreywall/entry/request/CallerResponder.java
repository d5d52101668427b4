package org.comfreywall.entry.request;

import java.util.Locale;
import java.util.Optional;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;

/**
 * Sends the answer and the outcome of a request to its caller, until the caller is
 * detached.
 */
final class CallerResponder {

	private final RequestContext context;

	private final RequestId request;

	private boolean detached;

	CallerResponder(RequestContext context, RequestId request) {
		this.context = context;
		this.request = request;
	}

	void deliver(AnswerPart part) {
		if (!this.detached) {
			this.context.emit(new DeliverPart(this.request, part));
		}
	}

	void deliver(RecordedAnswer answer) {
		deliver(new AnswerHead(answer.status(), answer.contentType()));
		deliver(new AnswerChunk(answer.body()));
		deliver(new AnswerEnd());
	}

	void complete(Outcome outcome, Optional<OperationError> error, int attempts) {
		if (this.detached) {
			return;
		}
		this.context.record(DecisionKind.OUTCOME, this.request, outcome.name().toLowerCase(Locale.ROOT),
				Field.of("attempts", attempts),
				Field.of("error", error.map((cause) -> cause.code().name()).orElse("none")));
		this.context.emit(new CompleteRequest(this.request, outcome, error));
	}

	void detach() {
		this.detached = true;
	}

	boolean isDetached() {
		return this.detached;
	}

}
