package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.UnicastProcessor;
import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.metrics.RequestMetrics;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.entry.request.CompleteRequest;

/**
 * An unfinished request and the stream of its answer. After construction, its state is
 * confined to the entry's worker thread. Times are in nanoseconds on the entry's
 * monotonic clock.
 */
final class ActiveRequest {

	private final CallerRequest request;

	private final Fingerprint fingerprint;

	private final long arrivedAtNanos;

	private final UnicastProcessor<AnswerPart> answer = UnicastProcessor.create();

	private Optional<BackendServerId> answeringServer = Optional.empty();

	private long lastChunkAtNanos;

	private long deliveredChunks;

	ActiveRequest(CallerRequest request, long arrivedAtNanos) {
		this.request = request;
		this.fingerprint = new Fingerprint(request.account(), request.service(), request.body().sha256());
		this.arrivedAtNanos = arrivedAtNanos;
	}

	CallerRequest request() {
		return this.request;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	Flowable<AnswerPart> answer() {
		return this.answer;
	}

	/**
	 * Returns the time until the deadline.
	 * @param now the current time
	 * @return the time in nanoseconds, negative after the deadline
	 */
	long remainingNanos(long now) {
		return this.arrivedAtNanos + this.request.timeout().toNanos() - now;
	}

	Optional<BackendServerId> answeringServer() {
		return this.answeringServer;
	}

	void setAnsweringServer(BackendServerId server) {
		this.answeringServer = Optional.of(server);
	}

	/**
	 * Passes a part of the answer to the caller's stream and records the latency of a
	 * chunk.
	 * @param part the part
	 * @param metrics records the latency
	 * @param now the current time
	 * @return whether the part is the first chunk of the answer
	 */
	boolean deliver(AnswerPart part, RequestMetrics metrics, long now) {
		boolean first = false;
		if (part instanceof AnswerChunk) {
			first = this.lastChunkAtNanos == 0;
			recordChunkLatency(first, metrics, now);
			this.lastChunkAtNanos = now;
			this.deliveredChunks++;
		}
		this.answer.onNext(part);
		return first;
	}

	void complete(CompleteRequest result, RequestMetrics metrics, long now) {
		metrics.recordOutcome(this.request.account(), result.outcome(), now - this.arrivedAtNanos);
		if (result.outcome() == Outcome.COMPLETED) {
			this.answer.onComplete();
			return;
		}
		OperationError error = result.error()
			.orElseGet(() -> OperationError.local(ErrorCode.INVARIANT, Step.ANSWER,
					"the request failed without an error description"));
		this.answer.onError(new RequestFailedException(result.outcome(), error, Duration.ZERO));
	}

	void refuse(OperationError error, Duration retryAfter) {
		this.answer.onError(new RequestFailedException(Outcome.NOT_RUN, error, retryAfter));
	}

	/**
	 * Returns the time since the request arrived.
	 * @param now the current time
	 * @return the time in nanoseconds
	 */
	long age(long now) {
		return now - this.arrivedAtNanos;
	}

	/**
	 * Returns the maximum cost of the request.
	 * @return the estimated prompt tokens plus the maximum number of generated tokens
	 */
	long expectedTokens() {
		return this.request.promptTokens() + this.request.maxTokens();
	}

	/**
	 * Returns the cost of the request so far, with each delivered chunk counted as one
	 * token.
	 * @return the estimated prompt tokens plus the delivered chunks, at most
	 * {@link #expectedTokens()}
	 */
	long spentTokens() {
		return this.request.promptTokens() + Math.min(this.deliveredChunks, this.request.maxTokens());
	}

	private void recordChunkLatency(boolean first, RequestMetrics metrics, long now) {
		if (first) {
			metrics.recordFirstToken(this.request.account(), now - this.arrivedAtNanos);
		}
		else {
			metrics.recordNextToken(this.request.account(), now - this.lastChunkAtNanos);
		}
	}

}
