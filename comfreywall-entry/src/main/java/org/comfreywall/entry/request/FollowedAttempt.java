package org.comfreywall.entry.request;

import java.util.Optional;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.NotRunEvidence;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;

/**
 * The attempt whose answer a request waits for: its own, or the attempt of an earlier
 * request that holds the claim on the same idempotency key.
 */
final class FollowedAttempt {

	private final RequestId request;

	private final BackendServerId backendServer;

	private final Incarnation incarnation;

	private final AnswerCollector collector;

	private final Optional<AttemptTarget> target;

	private Optional<AttemptId> attempt;

	private boolean started;

	private boolean suspended;

	private long nextSequence;

	private long resumeRequestedFrom = -1;

	private FollowedAttempt(RequestId request, BackendServerId backendServer, Incarnation incarnation,
			Optional<AttemptId> attempt, Optional<AttemptTarget> target, int maxAnswerBytes) {
		this.request = request;
		this.backendServer = backendServer;
		this.incarnation = incarnation;
		this.attempt = attempt;
		this.target = target;
		this.collector = new AnswerCollector(maxAnswerBytes);
	}

	static FollowedAttempt own(AttemptId attempt, AttemptTarget target, int maxAnswerBytes) {
		return new FollowedAttempt(attempt.request(), target.backendServer(), target.incarnation(),
				Optional.of(attempt), Optional.of(target), maxAnswerBytes);
	}

	static FollowedAttempt joined(ClaimRunning claim, int maxAnswerBytes) {
		return new FollowedAttempt(claim.owner(), claim.backendServer(), claim.incarnation(), Optional.empty(),
				Optional.empty(), maxAnswerBytes);
	}

	RequestId request() {
		return this.request;
	}

	BackendServerId backendServer() {
		return this.backendServer;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	boolean isJoined() {
		return this.target.isEmpty();
	}

	boolean isOnSidecar(BackendServerId server, Incarnation expectedIncarnation) {
		return this.backendServer.equals(server) && this.incarnation.equals(expectedIncarnation);
	}

	boolean matches(AttemptId other, BackendServerId server, Incarnation expectedIncarnation) {
		boolean sameAttempt = this.attempt.map(other::equals).orElse(other.request().equals(this.request));
		return sameAttempt && isOnSidecar(server, expectedIncarnation);
	}

	boolean isSealedBy(SealedReceived sealed) {
		AttemptId sealedAttempt = sealed.attempt();
		boolean covered = isJoined() ? sealedAttempt.request().equals(this.request) : covers(sealedAttempt);
		return covered && isOnSidecar(sealed.backendServer(), sealed.incarnation());
	}

	void markStarted(AttemptId startedAttempt) {
		this.attempt = Optional.of(startedAttempt);
		this.started = true;
		this.suspended = false;
	}

	boolean hasStarted() {
		return this.started;
	}

	boolean hasParts() {
		return this.nextSequence > 0;
	}

	void suspend() {
		this.suspended = true;
		this.resumeRequestedFrom = -1;
	}

	void resume() {
		this.suspended = false;
	}

	boolean isSuspended() {
		return this.suspended;
	}

	long nextSequence() {
		return this.nextSequence;
	}

	void add(AnswerPart part) {
		this.nextSequence++;
		this.collector.add(part);
	}

	Optional<RecordedAnswer> answer() {
		return this.collector.answer();
	}

	/**
	 * Returns whether to request retransmission from the next missing part. Returns
	 * {@code true} once for each missing part and connection.
	 * @return {@code true} if the retransmission was not requested yet
	 */
	boolean markResumeRequested() {
		boolean firstTime = this.resumeRequestedFrom != this.nextSequence;
		this.resumeRequestedFrom = this.nextSequence;
		return firstTime;
	}

	SendResume resumeCommand() {
		return new SendResume(this.attempt.orElseThrow(), this.backendServer, this.incarnation, this.nextSequence);
	}

	SendSeal sealCommand() {
		return new SendSeal(this.attempt.orElseThrow(), this.target.orElseThrow());
	}

	SendCancel cancelCommand() {
		return new SendCancel(this.attempt.orElseThrow(), this.backendServer, this.incarnation);
	}

	NotRunProof proof(NotRunEvidence evidence) {
		return new NotRunProof(evidence, this.request, this.backendServer, this.incarnation);
	}

	private boolean covers(AttemptId sealed) {
		AttemptId own = this.attempt.orElseThrow();
		return own.equals(sealed) || (sealed.equals(AttemptTarget.everyAttemptOf(own.request())));
	}

}
