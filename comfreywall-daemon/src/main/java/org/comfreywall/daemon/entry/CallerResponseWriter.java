package org.comfreywall.daemon.entry;

import java.util.Optional;
import java.util.function.IntConsumer;

import io.reactivex.rxjava3.core.FlowableSubscriber;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.stream.EventBoundary;
import org.reactivestreams.Subscription;

/**
 * Writes an answer to the caller with backpressure: requests the next part only once the
 * connection's write queue has room. Confined to the event loop of the caller's
 * connection.
 */
final class CallerResponseWriter implements FlowableSubscriber<AnswerPart> {

	static final String OUTCOME_HEADER = "Comfreywall-Outcome";

	private static final EventLog LOG = EventLog.of(CallerResponseWriter.class);

	private static final int CREDIT_BATCH_PARTS = 16;

	private final CallerRequest request;

	private final HttpServerResponse response;

	private final IntConsumer creditGrant;

	private final Runnable onDisconnect;

	private final EventBoundary boundary = new EventBoundary();

	private Subscription subscription;

	private boolean eventStream;

	private int writtenParts;

	private boolean done;

	CallerResponseWriter(CallerRequest request, HttpServerResponse response, IntConsumer creditGrant,
			Runnable onDisconnect) {
		this.request = request;
		this.response = response;
		this.creditGrant = creditGrant;
		this.onDisconnect = onDisconnect;
	}

	@Override
	public void onSubscribe(Subscription opened) {
		this.subscription = opened;
		this.response.closeHandler((closed) -> handleDisconnect());
		this.response.exceptionHandler((cause) -> handleDisconnect());
		opened.request(1);
	}

	@Override
	public void onNext(AnswerPart part) {
		if (this.done) {
			return;
		}
		write(part);
		grantCredit();
		if (this.response.writeQueueFull()) {
			this.response.drainHandler((drained) -> this.subscription.request(1));
		}
		else {
			this.subscription.request(1);
		}
	}

	@Override
	public void onError(Throwable cause) {
		if (cause instanceof RequestFailedException failure) {
			fail(failure.problem());
			return;
		}
		fail(Problem.of(Outcome.UNKNOWN,
				OperationError.local(ErrorCode.INVARIANT, Step.ANSWER, String.valueOf(cause))));
	}

	@Override
	public void onComplete() {
		if (!this.done) {
			finish(Outcome.COMPLETED);
			this.response.putTrailer(OUTCOME_HEADER, Outcome.COMPLETED.name());
			this.response.end();
		}
	}

	private void write(AnswerPart part) {
		if (part instanceof AnswerHead head) {
			this.eventStream = EventBoundary.isEventStream(head.contentType());
			this.response.setStatusCode(head.status());
			if (!head.contentType().isEmpty()) {
				this.response.putHeader("Content-Type", head.contentType());
			}
			this.response.putHeader("Trailer", OUTCOME_HEADER);
			this.response.setChunked(true);
			this.response.writeHead();
		}
		else if (part instanceof AnswerChunk chunk) {
			byte[] bytes = chunk.payload().toArray();
			if (this.eventStream) {
				follow(bytes);
			}
			this.response.write(Buffer.buffer(bytes));
		}
	}

	private void follow(byte[] bytes) {
		for (byte next : bytes) {
			this.boundary.accept(next);
		}
	}

	private void grantCredit() {
		this.writtenParts++;
		if (this.writtenParts == CREDIT_BATCH_PARTS) {
			this.creditGrant.accept(this.writtenParts);
			this.writtenParts = 0;
		}
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
			problem.retryAfterSeconds().ifPresent((seconds) -> this.response.putHeader("Retry-After", seconds));
			this.response.setStatusCode(problem.status())
				.putHeader("Content-Type", Problem.CONTENT_TYPE)
				.putHeader(OUTCOME_HEADER, problem.outcome().name())
				.end(problem.json(id).toBuffer());
			return;
		}
		// Within an event, anything written would become a part of it, and the caller
		// would take it for whole.
		if (this.eventStream && !this.boundary.isBrokenOff(true)) {
			this.response.write("event: error\ndata: " + problem.json(id).encode() + "\n\n");
			this.response.putTrailer(OUTCOME_HEADER, problem.outcome().name());
			this.response.end();
			return;
		}
		this.response.reset();
	}

	private void finish(Outcome outcome) {
		this.done = true;
		LOG.info("request-ended", Field.of("request", this.request.id()), Field.of("account", this.request.account()),
				Field.of("service", this.request.service()), Field.of("outcome", outcome));
	}

	private void handleDisconnect() {
		if (!this.done) {
			this.done = true;
			LOG.info("caller-gone", Field.of("request", this.request.id()),
					Field.of("account", this.request.account()));
			this.subscription.cancel();
			this.onDisconnect.run();
		}
	}

}
