package org.comfreywall.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Flowable;
import org.comfreywall.common.claim.ClaimCompleted;
import org.comfreywall.common.claim.ClaimFound;
import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimMismatch;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.claim.ClaimUnknown;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.WireErrors;
import org.comfreywall.transport.generated.Answer;
import org.comfreywall.transport.generated.AnswerEnd;
import org.comfreywall.transport.generated.AnswerHead;
import org.comfreywall.transport.generated.AttemptRef;
import org.comfreywall.transport.generated.AttemptStart;

/**
 * Runs a caller's request: claims its key, chooses a backend server and streams the
 * answer.
 */
final class EntryEngine {

	private final BackendDirectory directory;

	private final ClaimStore claims;

	EntryEngine(BackendDirectory directory, ClaimStore claims) {
		this.directory = Preconditions.notNull(directory, "directory");
		this.claims = Preconditions.notNull(claims, "claims");
	}

	/**
	 * Runs a request.
	 * @param request the request
	 * @return the answer's messages; the last one carries the outcome
	 */
	Flowable<Answer> run(CallerRequest request) {
		Optional<BackendEndpoint> endpoint = this.directory.choose(request.service());
		if (endpoint.isEmpty()) {
			return failed(Outcome.NOT_RUN, OperationError.local(ErrorCode.UNAVAILABLE, Step.ROUTE,
					"no healthy backend server offers " + request.service()));
		}
		return request.claimKey()
			.map((key) -> runClaimed(request, endpoint.get(), key))
			.orElseGet(() -> attempt(request, endpoint.get()));
	}

	private Flowable<Answer> runClaimed(CallerRequest request, BackendEndpoint endpoint, ClaimKey key) {
		ClaimRunning claim = new ClaimRunning(request.id(), endpoint.id(), endpoint.incarnation());
		return this.claims.claim(key, request.body().sha256(), claim)
			.flatMapPublisher((result) -> continueClaimed(request, endpoint, key, result));
	}

	private Flowable<Answer> continueClaimed(CallerRequest request, BackendEndpoint endpoint, ClaimKey key,
			ClaimResult result) {
		if (result instanceof ClaimGranted granted) {
			return record(key, granted.claim(), attempt(request, endpoint));
		}
		if (result instanceof ClaimFound found) {
			return repeat(found.state());
		}
		Preconditions.check(result instanceof ClaimMismatch, "unknown claim result %s", result);
		return failed(Outcome.NOT_RUN, OperationError.local(ErrorCode.CONFLICT, Step.CLAIM,
				"the idempotency key was used before with another body; choose a new key"));
	}

	private Flowable<Answer> record(ClaimKey key, ClaimRunning claim, Flowable<Answer> answer) {
		AnswerRecorder recorder = new AnswerRecorder();
		return answer.concatMap((message) -> {
			recorder.add(message);
			if (!message.hasEnd()) {
				return Flowable.just(message);
			}
			return finish(key, claim, recorder, message);
		});
	}

	private Flowable<Answer> finish(ClaimKey key, ClaimRunning claim, AnswerRecorder recorder, Answer end) {
		Outcome outcome = Outcome.valueOf(end.getEnd().getOutcome());
		if (outcome == Outcome.NOT_RUN) {
			return this.claims.release(key, claim).andThen(Flowable.just(end));
		}
		ClaimState state = (outcome == Outcome.COMPLETED) ? new ClaimCompleted(claim.owner(), recorder.answer())
				: new ClaimUnknown(claim.owner());
		return this.claims.finish(key, state).andThen(Flowable.just(end));
	}

	private Flowable<Answer> repeat(ClaimState state) {
		if (state instanceof ClaimCompleted completed) {
			RecordedAnswer answer = completed.answer();
			return Flowable.just(
					Answer.newBuilder()
						.setHead(
								AnswerHead.newBuilder().setStatus(answer.status()).setContentType(answer.contentType()))
						.build(),
					Answer.newBuilder().setChunk(ByteString.copyFrom(answer.body().toArray())).build(),
					end(AnswerEnd.newBuilder().setOutcome(Outcome.COMPLETED.name())));
		}
		return failed(Outcome.UNKNOWN, OperationError.local(ErrorCode.CONFLICT, Step.CLAIM,
				"request " + state.owner() + " with the same idempotency key has no known outcome yet"));
	}

	private Flowable<Answer> attempt(CallerRequest request, BackendEndpoint endpoint) {
		AttemptStart start = AttemptStart.newBuilder()
			.setAttempt(AttemptRef.newBuilder()
				.setRequest(request.id().value())
				.setNumber(1)
				.setSidecarIncarnation(endpoint.incarnation().value()))
			.setAccount(request.account().value())
			.setService(request.service().value())
			.setMethod(request.method())
			.setPath(request.path())
			.setContentType(request.contentType())
			.setBody(ByteString.copyFrom(request.body().toArray()))
			.setPriority(request.priority().ordinal())
			.setRemainingMillis(request.timeout().toMillis())
			.setIdempotent(request.idempotent())
			.setIdempotencyKey(request.key().map(Object::toString).orElse(""))
			.build();
		return endpoint.client().start(start);
	}

	private static Flowable<Answer> failed(Outcome outcome, OperationError error) {
		return Flowable.just(end(AnswerEnd.newBuilder().setOutcome(outcome.name()).setError(WireErrors.encode(error))));
	}

	private static Answer end(AnswerEnd.Builder end) {
		return Answer.newBuilder().setEnd(end).build();
	}

	/**
	 * Collects an answer for callers that send the request again.
	 */
	private static final class AnswerRecorder {

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private AnswerHead head = AnswerHead.getDefaultInstance();

		void add(Answer message) {
			if (message.hasHead()) {
				this.head = message.getHead();
			}
			else if (message.hasChunk()) {
				this.body.writeBytes(message.getChunk().toByteArray());
			}
		}

		RecordedAnswer answer() {
			return new RecordedAnswer(this.head.getStatus(), this.head.getContentType(),
					Bytes.of(this.body.toByteArray()));
		}

	}

}
