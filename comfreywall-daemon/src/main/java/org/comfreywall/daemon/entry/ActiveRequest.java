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
 * An unfinished request and the stream of its answer. Confined to the entry's worker
 * thread.
 */
final class ActiveRequest {

	private final CallerRequest request;

	private final Fingerprint fingerprint;

	private final long arrivedAt;

	private final UnicastProcessor<AnswerPart> answer = UnicastProcessor.create();

	private Optional<BackendServerId> answeringServer = Optional.empty();

	private long lastChunkAt;

	private long chunks;

	ActiveRequest(CallerRequest request, long arrivedAt) {
		this.request = request;
		this.fingerprint = new Fingerprint(request.account(), request.service(), request.body().sha256());
		this.arrivedAt = arrivedAt;
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

	long remainingNanos(long now) {
		return this.arrivedAt + this.request.timeout().toNanos() - now;
	}

	Optional<BackendServerId> answeringServer() {
		return this.answeringServer;
	}

	void setAnsweringServer(BackendServerId server) {
		this.answeringServer = Optional.of(server);
	}

	boolean deliver(AnswerPart part, RequestMetrics metrics, long now) {
		boolean first = false;
		if (part instanceof AnswerChunk) {
			first = this.lastChunkAt == 0;
			recordLatency(first, metrics, now);
			this.lastChunkAt = now;
			this.chunks++;
		}
		this.answer.onNext(part);
		return first;
	}

	void complete(CompleteRequest result, RequestMetrics metrics, long now) {
		metrics.recordOutcome(this.request.account(), result.outcome(), now - this.arrivedAt);
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

	long age(long now) {
		return now - this.arrivedAt;
	}

	long expectedTokens() {
		return this.request.promptTokens() + this.request.maxTokens();
	}

	long spentTokens() {
		return this.request.promptTokens() + Math.min(this.chunks, this.request.maxTokens());
	}

	private void recordLatency(boolean first, RequestMetrics metrics, long now) {
		if (first) {
			metrics.recordFirstToken(this.request.account(), now - this.arrivedAt);
		}
		else {
			metrics.recordNextToken(this.request.account(), now - this.lastChunkAt);
		}
	}

}
