package org.comfreywall.daemon.entry;

import java.util.Optional;

import io.reactivex.rxjava3.core.FlowableSubscriber;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.transport.OperationException;
import org.comfreywall.transport.WireErrors;
import org.comfreywall.transport.generated.Answer;
import org.comfreywall.transport.generated.AnswerEnd;
import org.reactivestreams.Subscription;

/**
 * Writes an answer to the caller as fast as the caller takes it; used on the event loop
 * of the caller's connection.
 */
final class CallerAnswerWriter implements FlowableSubscriber<Answer> {

	static final String OUTCOME_HEADER = "Comfreywall-Outcome";

	private static final EventLog LOG = EventLog.of(CallerAnswerWriter.class);

	private final CallerRequest request;

	private final HttpServerResponse response;

	private final InstanceId self;

	private Subscription subscription;

	private boolean done;

	CallerAnswerWriter(CallerRequest request, HttpServerResponse response, InstanceId self) {
		this.request = request;
		this.response = response;
		this.self = self;
	}

	@Override
	public void onSubscribe(Subscription opened) {
		this.subscription = opened;
		this.response.closeHandler((closed) -> abandon());
		this.response.exceptionHandler((cause) -> abandon());
		opened.request(1);
	}

	@Override
	public void onNext(Answer message) {
		if (this.done) {
			return;
		}
		if (message.hasEnd()) {
			end(message.getEnd());
			return;
		}
		write(message);
		if (this.response.writeQueueFull()) {
			this.response.drainHandler((drained) -> this.subscription.request(1));
		}
		else {
			this.subscription.request(1);
		}
	}

	@Override
	public void onError(Throwable cause) {
		OperationError error = (cause instanceof OperationException known) ? known.error()
				: OperationError.local(ErrorCode.INVARIANT, Step.ANSWER, String.valueOf(cause));
		fail(new Problem(Outcome.UNKNOWN, error));
	}

	@Override
	public void onComplete() {
		if (!this.done) {
			fail(new Problem(Outcome.UNKNOWN,
					OperationError.local(ErrorCode.INVARIANT, Step.ANSWER, "the answer ended without an outcome")));
		}
	}

	private void write(Answer message) {
		if (message.hasHead()) {
			this.response.setStatusCode(message.getHead().getStatus());
			if (!message.getHead().getContentType().isEmpty()) {
				this.response.putHeader("Content-Type", message.getHead().getContentType());
			}
			this.response.putHeader("Trailer", OUTCOME_HEADER);
			this.response.setChunked(true);
			this.response.writeHead();
			return;
		}
		this.response.write(Buffer.buffer(message.getChunk().toByteArray()));
	}

	private void end(AnswerEnd end) {
		Outcome outcome = Outcome.valueOf(end.getOutcome());
		if (outcome != Outcome.COMPLETED) {
			fail(new Problem(outcome, WireErrors.decode(end.getError(), this.self)));
			return;
		}
		finish(outcome);
		this.response.putTrailer(OUTCOME_HEADER, outcome.name());
		this.response.end();
	}

	private void fail(Problem problem) {
		if (this.done) {
			return;
		}
		finish(problem.outcome());
		Optional<String> id = Optional.of(this.request.id().value());
		if (!this.response.headWritten()) {
			this.response.setChunked(false);
			this.response.headers().remove("Trailer");
			this.response.setStatusCode(problem.status())
				.putHeader("Content-Type", Problem.CONTENT_TYPE)
				.putHeader(OUTCOME_HEADER, problem.outcome().name())
				.end(problem.json(id).toBuffer());
			return;
		}
		if (isEventStream()) {
			this.response.write("event: error\ndata: " + problem.json(id).encode() + "\n\n");
			this.response.putTrailer(OUTCOME_HEADER, problem.outcome().name());
			this.response.end();
			return;
		}
		this.response.reset();
	}

	private boolean isEventStream() {
		String type = this.response.headers().get("Content-Type");
		return type != null && type.startsWith("text/event-stream");
	}

	private void finish(Outcome outcome) {
		this.done = true;
		LOG.info("request-ended", Field.of("request", this.request.id()), Field.of("account", this.request.account()),
				Field.of("service", this.request.service()), Field.of("outcome", outcome));
	}

	private void abandon() {
		if (!this.done) {
			this.done = true;
			LOG.info("caller-gone", Field.of("request", this.request.id()),
					Field.of("account", this.request.account()));
			this.subscription.cancel();
		}
	}

}
