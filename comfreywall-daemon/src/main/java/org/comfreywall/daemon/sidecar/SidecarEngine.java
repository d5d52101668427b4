package org.comfreywall.daemon.sidecar;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.PeerListener;
import org.comfreywall.transport.generated.AttemptRef;
import org.comfreywall.transport.generated.AttemptStart;
import org.comfreywall.transport.generated.Credit;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Resume;
import org.comfreywall.transport.generated.SealResult;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Runs attempts on the backend server, each at most once, and streams their answers to
 * the entries.
 */
final class SidecarEngine implements PeerListener {

	private static final EventLog LOG = EventLog.of(SidecarEngine.class);

	private static final Duration KEEP_ENDED = Duration.ofMinutes(1);

	private final PeerIdentity self;

	private final SerialWorker worker;

	private final BackendClient backend;

	private final Map<AttemptRef, SidecarAttempt> attempts = new HashMap<>();

	private final Set<AttemptRef> sealed = new HashSet<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private int running;

	private boolean draining;

	SidecarEngine(PeerIdentity self, SerialWorker worker, BackendClient backend) {
		this.self = Preconditions.notNull(self, "self");
		this.worker = Preconditions.notNull(worker, "worker");
		this.backend = Preconditions.notNull(backend, "backend");
	}

	/**
	 * Refuses new attempts and finishes those that run.
	 * @return completes when no attempt runs any more
	 */
	CompletableFuture<Void> drain() {
		this.worker.execute(() -> {
			this.draining = true;
			completeDrain();
		});
		return this.drained;
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		if (!this.worker.offer(() -> process(connection, frame))) {
			LOG.warn("sidecar-overloaded", Field.of("frame", frame.getBodyCase()));
			connection.close();
		}
	}

	@Override
	public void onClosed(PeerConnection connection, OperationError reason) {
		LOG.debug("entry-disconnected", Field.of("reason", reason.message()));
	}

	private void process(PeerConnection connection, Frame frame) {
		switch (frame.getBodyCase()) {
			case START -> start(connection, frame.getStart());
			case CREDIT -> credit(frame.getCredit());
			case CANCEL -> cancel(frame.getCancel().getAttempt());
			case SEAL -> seal(connection, frame.getSeal().getAttempt());
			case RESUME -> resume(connection, frame.getResume());
			default -> connection.close();
		}
	}

	private void start(PeerConnection connection, AttemptStart start) {
		AttemptRef ref = start.getAttempt();
		if (this.attempts.containsKey(ref)) {
			return;
		}
		SidecarAttempt attempt = new SidecarAttempt(ref, connection, start.getCredit());
		if (isFenced(ref) || this.sealed.contains(ref)) {
			attempt.fail(Outcome.NOT_RUN, error(ErrorCode.FENCED, Step.SEND, "the attempt was sealed before it came"));
			return;
		}
		if (this.draining) {
			attempt.fail(Outcome.NOT_RUN, error(ErrorCode.UNAVAILABLE, Step.SEND, "the backend server is leaving"));
			return;
		}
		this.attempts.put(ref, attempt);
		this.running++;
		attempt.running(this.backend.run(start, new AttemptProgress(attempt)));
	}

	private void credit(Credit credit) {
		SidecarAttempt attempt = this.attempts.get(credit.getAttempt());
		if (attempt != null) {
			attempt.credit(credit.getMessages(), credit.getNextSequence());
		}
	}

	private void cancel(AttemptRef ref) {
		SidecarAttempt attempt = this.attempts.get(ref);
		if (attempt != null && attempt.outcome().isEmpty()) {
			attempt.cancel();
			attempt.fail(Outcome.UNKNOWN, error(ErrorCode.CANCELLED, Step.RUN, "the caller cancelled the request"));
			ended(attempt);
		}
	}

	private void seal(PeerConnection connection, AttemptRef ref) {
		SidecarAttempt attempt = this.attempts.get(ref);
		boolean proven = isFenced(ref) ? false
				: (attempt == null || attempt.outcome().filter(Outcome.NOT_RUN::equals).isPresent());
		if (attempt == null && proven) {
			this.sealed.add(ref);
		}
		SealResult result = SealResult.newBuilder().setAttempt(ref).setSealed(proven).build();
		connection.send(Frame.newBuilder().setSealResult(result).build());
	}

	private void resume(PeerConnection connection, Resume resume) {
		AttemptRef ref = resume.getAttempt();
		SidecarAttempt attempt = this.attempts.get(ref);
		if (attempt != null && attempt.resume(connection, resume.getNextSequence(), resume.getCredit())) {
			return;
		}
		SidecarAttempt refused = new SidecarAttempt(ref, connection, resume.getCredit());
		if (attempt == null && resume.getNextSequence() == 0 && !isFenced(ref)) {
			this.sealed.add(ref);
			refused.fail(Outcome.NOT_RUN, error(ErrorCode.CONNECTION_LOST, Step.SEND, "the attempt never came"));
			return;
		}
		refused.fail(Outcome.UNKNOWN, error(ErrorCode.CONNECTION_LOST, Step.ANSWER, "the answer cannot be resumed"));
	}

	private boolean isFenced(AttemptRef ref) {
		return ref.getSidecarIncarnation() != this.self.incarnation().value();
	}

	private OperationError error(ErrorCode code, Step step, String message) {
		return OperationError.at(code, step, this.self.instance(), message);
	}

	private void ended(SidecarAttempt attempt) {
		this.running--;
		this.worker.after(KEEP_ENDED, () -> this.attempts.remove(attempt.ref(), attempt));
		completeDrain();
	}

	private void completeDrain() {
		if (this.draining && this.running == 0) {
			this.drained.complete(null);
		}
	}

	/**
	 * Hands the progress of a call over to the worker.
	 */
	private final class AttemptProgress implements BackendListener {

		private final SidecarAttempt attempt;

		AttemptProgress(SidecarAttempt attempt) {
			this.attempt = attempt;
		}

		@Override
		public void onHead(int status, String contentType) {
			hand(() -> this.attempt.head(status, contentType));
		}

		@Override
		public void onChunk(Bytes data) {
			hand(() -> this.attempt.chunk(data));
		}

		@Override
		public void onComplete() {
			hand(() -> {
				this.attempt.complete();
				ended(this.attempt);
			});
		}

		@Override
		public void onFailure(OperationError error, boolean sent) {
			hand(() -> {
				this.attempt.fail(sent ? Outcome.UNKNOWN : Outcome.NOT_RUN, error);
				ended(this.attempt);
			});
		}

		private void hand(Runnable change) {
			SidecarEngine.this.worker.execute(() -> {
				if (this.attempt.outcome().isEmpty()) {
					change.run();
				}
			});
		}

	}

}
