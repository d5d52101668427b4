package org.comfreywall.entry.request;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;

import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.claim.ClaimCompleted;
import org.comfreywall.common.claim.ClaimFound;
import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.claim.NotRunEvidence;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.CrashEvidence;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;

/**
 * The state machine of one request: maps events to transitions of its state.
 */
final class RequestStateMachine {

	private static final Duration RECLAIM_DELAY = Duration.ofMillis(50);

	private final RequestState state;

	RequestStateMachine(RequestContext context, RequestSpec spec, long deadline) {
		this.state = new RequestState(context, spec, deadline);
	}

	RequestId id() {
		return this.state.spec().id();
	}

	boolean isDone() {
		return this.state.phase() == RequestPhase.DONE;
	}

	boolean isIsolating() {
		return this.state.phase() == RequestPhase.ISOLATING;
	}

	boolean holdsIsolation() {
		return this.state.isolation().isHeld();
	}

	Optional<RequestId> followedRequest() {
		return this.state.followed().map(FollowedAttempt::request);
	}

	boolean follows(Predicate<FollowedAttempt> condition) {
		return this.state.phase().followsAttempt() && this.state.followed().filter(condition).isPresent();
	}

	long nextTimer() {
		return this.state.nextTimer();
	}

	void accepted(PoisonVerdict verdict) {
		if (!this.state.spec().idempotent() && this.state.spec().keyRequired() && this.state.spec().key().isEmpty()) {
			this.state.finish(Outcome.NOT_RUN, RequestErrors.keyMissing());
		}
		else if (verdict == PoisonVerdict.QUARANTINED) {
			this.state.giveUp(RequestErrors.quarantined());
		}
		else if (verdict == PoisonVerdict.SUSPECT) {
			this.state.isolation().markSuspected();
			this.state.acquireIsolation();
		}
		else {
			this.state.route();
		}
	}

	void routeChosen(AttemptTarget target) {
		if (this.state.phase() != RequestPhase.ROUTING) {
			return;
		}
		if (this.state.claim().isNeeded()) {
			this.state.enter(RequestPhase.CLAIMING);
			this.state.claim().acquire(target);
		}
		else {
			this.state.send(target);
		}
	}

	void routeUnavailable(OperationError error) {
		if (this.state.phase() == RequestPhase.ROUTING) {
			this.state.retry(RetryCause.NO_ROUTE, error);
		}
	}

	void claimAnswered(AttemptTarget target, ClaimResult result) {
		if (this.state.phase() != RequestPhase.CLAIMING || !this.state.claim().isRequestedFor(target)) {
			return;
		}
		this.state.context()
			.record(DecisionKind.CLAIM, id(), result.getClass().getSimpleName(),
					Field.of("backend-server", target.backendServer()));
		if (result instanceof ClaimGranted) {
			this.state.claim().markGranted();
			this.state.send(target);
		}
		else if (result instanceof ClaimFound found) {
			claimFound(found.state());
		}
		else {
			this.state.finish(Outcome.NOT_RUN, RequestErrors.keyReused());
		}
	}

	void claimFailed(OperationError error) {
		if (this.state.phase() == RequestPhase.CLAIMING) {
			this.state.giveUp(error);
		}
	}

	void isolationAnswered(IsolationResult result) {
		this.state.context().record(DecisionKind.QUARANTINE, id(), result.name().toLowerCase(Locale.ROOT));
		if (result == IsolationResult.GRANTED) {
			this.state.isolation().markHeld();
			this.state.sendOrRoute();
		}
		else if (result == IsolationResult.NOT_SUSPECTED) {
			this.state.isolation().clearSuspicion();
			this.state.flight().markCleared();
			this.state.sendOrRoute();
		}
		else if (result == IsolationResult.QUARANTINED) {
			this.state.giveUp(RequestErrors.quarantined());
		}
		else {
			this.state.setTimer(this.state.context().settings().isolationPollTime());
		}
	}

	void claimReleased(NotRunProof proof, boolean released) {
		if (this.state.phase() == RequestPhase.RELEASING && this.state.claim().isReleasedBy(proof)) {
			this.state.finishAfterRelease(released);
		}
	}

	void flightAnswered(FlightPermit permit) {
		if (this.state.phase() != RequestPhase.AWAITING_PERMIT) {
			return;
		}
		if (permit == FlightPermit.GO) {
			this.state.transmit();
		}
		else if (permit == FlightPermit.WAIT) {
			this.state.setTimer(this.state.context().settings().flightPollTime());
		}
		else {
			this.state.isolation().markSuspected();
			this.state.acquireIsolation();
		}
	}

	void crashRecorded() {
		if (this.state.phase() == RequestPhase.RECORDING_CRASH) {
			this.state.handleCrashRecorded();
		}
	}

	void startNotSent(AttemptId attempt) {
		boolean awaitsStart = this.state.phase() == RequestPhase.SENT || this.state.phase() == RequestPhase.SEALING;
		if (awaitsStart && attempt.number() == this.state.attempts()) {
			this.state.handleNotRun(NotRunEvidence.NEVER_SENT,
					RequestErrors.atBackendServer(ErrorCode.UNAVAILABLE, Step.SEND, this.state.followed().orElseThrow(),
							"No connection to the sidecar; the attempt was not sent"));
		}
	}

	void attemptStarted(AttemptId attempt) {
		this.state.followed().orElseThrow().markStarted(attempt);
		if (this.state.phase() == RequestPhase.SEALING) {
			this.state.closeRunning();
		}
		else if (this.state.phase().followsAttempt()) {
			this.state.enterRunning();
		}
	}

	void partReceived(AttemptId attempt, long sequence, AnswerPart part) {
		FollowedAttempt source = this.state.followed().orElseThrow();
		if (!source.hasStarted()) {
			attemptStarted(attempt);
		}
		if (!this.state.phase().followsAttempt() || sequence < source.nextSequence()) {
			return;
		}
		if (sequence > source.nextSequence()) {
			requestMissingPartOnce(source);
			return;
		}
		source.add(part);
		source.resume();
		this.state.caller().deliver(part);
		if (part instanceof AnswerEnd) {
			completeWithAnswer(source);
		}
		else {
			this.state.enterRunning();
		}
	}

	void attemptSealed() {
		FollowedAttempt source = this.state.followed().orElseThrow();
		boolean noParts = !source.hasParts();
		if (!this.state.context()
			.invariants()
			.holds(noParts, "sealed-attempt-has-no-answer", Field.of("request", id()))) {
			return;
		}
		if (source.isJoined()) {
			this.state.stopFollowing();
			this.state.claim().releaseWith(source.proof(NotRunEvidence.SEALED));
			this.state.route();
		}
		else {
			this.state.handleNotRun(NotRunEvidence.SEALED, RequestErrors.atBackendServer(ErrorCode.UNAVAILABLE,
					Step.SEAL, source, "The sidecar sealed the attempt before it started"));
		}
	}

	void attemptRefused(AttemptRefusal refusal) {
		FollowedAttempt source = this.state.followed().orElseThrow();
		OperationError error = RequestErrors.atBackendServer(ErrorCode.UNAVAILABLE, Step.RUN, source,
				"The sidecar refused the attempt: " + refusal);
		if (refusal.provesNotRun() && !source.isJoined() && !source.hasParts()) {
			this.state.handleNotRun(NotRunEvidence.SEALED, error);
		}
		else {
			this.state.claim().markUnknown(source.request());
			this.state.handleAttemptFailure(RetryCause.BROKEN, error);
		}
	}

	void attemptEnded(AttemptEnd end, int crashNumber) {
		FollowedAttempt source = this.state.followed().orElseThrow();
		OperationError error = RequestErrors.atBackendServer(ErrorCode.BACKEND_ERROR, Step.RUN, source,
				"The attempt ended without an answer: " + end);
		this.state.claim().markUnknown(source.request());
		if (end == AttemptEnd.CRASHED && !source.isJoined()) {
			this.state.isolation().recordCrash(source, CrashEvidence.BACKEND_CRASHED, crashNumber);
			this.state.handleAttemptFailure(RetryCause.CRASHED, error);
		}
		else {
			this.state.isolation().release(IsolationEnd.SURVIVED);
			this.state.handleAttemptFailure(RetryCause.BROKEN, error);
		}
	}

	void connectionLost() {
		this.state.followed().orElseThrow().suspend();
	}

	void connectionRestored() {
		FollowedAttempt source = this.state.followed().orElseThrow();
		source.resume();
		if (source.hasParts() || (source.hasStarted() && this.state.phase() == RequestPhase.RUNNING)) {
			requestMissingPartOnce(source);
		}
		else if (source.isJoined()) {
			this.state.context()
				.emit(new SendClaimQuery(source.request(), source.backendServer(), source.incarnation()));
		}
		else {
			this.state.context().emit(source.sealCommand());
		}
	}

	void sidecarLost() {
		FollowedAttempt source = this.state.followed().orElseThrow();
		OperationError error = RequestErrors.atBackendServer(ErrorCode.CONNECTION_LOST, Step.RUN, source,
				"The sidecar restarted or cannot be reached");
		if (source.isJoined()) {
			this.state.finish(Outcome.UNKNOWN, error);
		}
		else {
			this.state.isolation().recordCrash(source, CrashEvidence.SIDECAR_LOST, 0);
			this.state.handleAttemptFailure(RetryCause.SIDECAR_LOST, error);
		}
	}

	void cancel() {
		if (!this.state.isClosing()) {
			this.state.close(RequestErrors.cancelled());
		}
	}

	void timePassed() {
		if (this.state.isDeadlineExceeded()) {
			this.state.close(RequestErrors.deadlineExceeded());
		}
		else if (this.state.isTimerDue()) {
			timerFired();
		}
	}

	private void timerFired() {
		if (this.state.caller().isDetached()) {
			this.state.enter(RequestPhase.DONE);
		}
		else if (this.state.phase() == RequestPhase.BACKING_OFF) {
			this.state.routeOrIsolate();
		}
		else if (this.state.phase() == RequestPhase.ISOLATING) {
			this.state.acquireIsolation();
		}
		else if (this.state.phase() == RequestPhase.AWAITING_PERMIT) {
			this.state.requestFlightPermit();
		}
		else if (this.state.phase() == RequestPhase.RELEASING) {
			this.state.finishAfterRelease(false);
		}
		else if (this.state.phase() == RequestPhase.SEALING) {
			this.state.handleAttemptFailure(RetryCause.BROKEN, RequestErrors.sealTimedOut());
		}
		else if (this.state.phase().followsAttempt()) {
			probe();
		}
	}

	private void claimFound(ClaimState state) {
		if (state instanceof ClaimCompleted completed) {
			this.state.caller().deliver(completed.answer());
			this.state.finish(Outcome.COMPLETED, Optional.empty());
		}
		else if (state instanceof ClaimRunning running && running.owner().equals(id())) {
			this.state.claim().releaseOwn(running);
			this.state.backOff(RECLAIM_DELAY);
		}
		else if (state instanceof ClaimRunning running) {
			this.state.join(running);
		}
		else {
			this.state.finish(Outcome.UNKNOWN, RequestErrors.earlierRequestUnknown());
		}
	}

	private void completeWithAnswer(FollowedAttempt source) {
		source.answer().ifPresent((answer) -> this.state.claim().recordAnswer(source.request(), answer));
		this.state.isolation().release(IsolationEnd.SURVIVED);
		this.state.finish(Outcome.COMPLETED, Optional.empty());
	}

	private void probe() {
		FollowedAttempt source = this.state.followed().orElseThrow();
		if (!source.isSuspended()) {
			this.state.context().emit(new ProbeConnection(source.backendServer(), source.incarnation()));
		}
		this.state.setTimer(this.state.context().settings().progressTime());
	}

	private void requestMissingPartOnce(FollowedAttempt source) {
		if (source.markResumeRequested()) {
			this.state.context().emit(source.resumeCommand());
		}
	}

}
