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
final class RequestMachine {

	private static final Duration RECLAIM_DELAY = Duration.ofMillis(50);

	private final RequestLife life;

	RequestMachine(RequestContext context, RequestSpec spec, long deadline) {
		this.life = new RequestLife(context, spec, deadline);
	}

	RequestId id() {
		return this.life.spec().id();
	}

	boolean isDone() {
		return this.life.phase() == RequestPhase.DONE;
	}

	boolean isIsolating() {
		return this.life.phase() == RequestPhase.ISOLATING;
	}

	boolean holdsIsolation() {
		return this.life.isolation().isHeld();
	}

	Optional<RequestId> followedRequest() {
		return this.life.followed().map(FollowedAttempt::request);
	}

	boolean follows(Predicate<FollowedAttempt> condition) {
		return this.life.phase().followsAttempt() && this.life.followed().filter(condition).isPresent();
	}

	long wakeAt() {
		return this.life.wakeAt();
	}

	void accept(PoisonVerdict verdict) {
		if (!this.life.spec().idempotent() && this.life.spec().keyRequired() && this.life.spec().key().isEmpty()) {
			this.life.finish(Outcome.NOT_RUN, RequestErrors.keyMissing());
		}
		else if (verdict == PoisonVerdict.QUARANTINED) {
			this.life.giveUp(RequestErrors.quarantined());
		}
		else if (verdict == PoisonVerdict.SUSPECT) {
			this.life.isolation().suspect();
			this.life.isolate();
		}
		else {
			this.life.route();
		}
	}

	void routeChosen(AttemptTarget target) {
		if (this.life.phase() != RequestPhase.ROUTING) {
			return;
		}
		if (this.life.claim().isNeeded()) {
			this.life.enter(RequestPhase.CLAIMING);
			this.life.claim().ask(target);
		}
		else {
			this.life.send(target);
		}
	}

	void routeUnavailable(OperationError error) {
		if (this.life.phase() == RequestPhase.ROUTING) {
			this.life.tryAgain(RetryCause.NO_ROUTE, error);
		}
	}

	void claimAnswered(AttemptTarget target, ClaimResult result) {
		if (this.life.phase() != RequestPhase.CLAIMING || !this.life.claim().isAskedFor(target)) {
			return;
		}
		this.life.context()
			.record(DecisionKind.CLAIM, id(), result.getClass().getSimpleName(),
					Field.of("backend-server", target.backendServer()));
		if (result instanceof ClaimGranted) {
			this.life.claim().grant();
			this.life.send(target);
		}
		else if (result instanceof ClaimFound found) {
			claimFound(found.state());
		}
		else {
			this.life.finish(Outcome.NOT_RUN, RequestErrors.keyReused());
		}
	}

	void claimFailed(OperationError error) {
		if (this.life.phase() == RequestPhase.CLAIMING) {
			this.life.giveUp(error);
		}
	}

	void isolationAnswered(IsolationResult result) {
		this.life.context().record(DecisionKind.QUARANTINE, id(), result.name().toLowerCase(Locale.ROOT));
		if (result == IsolationResult.GRANTED) {
			this.life.isolation().grant();
			this.life.sendOrRoute();
		}
		else if (result == IsolationResult.NOT_SUSPECTED) {
			this.life.isolation().clear();
			this.life.flight().clear();
			this.life.sendOrRoute();
		}
		else if (result == IsolationResult.QUARANTINED) {
			this.life.giveUp(RequestErrors.quarantined());
		}
		else {
			this.life.wakeAfter(this.life.context().settings().isolationPollTime());
		}
	}

	void claimReleased(NotRunProof proof, boolean released) {
		if (this.life.phase() == RequestPhase.RELEASING && this.life.claim().isReleasedBy(proof)) {
			this.life.released(released);
		}
	}

	void flightAnswered(FlightPermit permit) {
		if (this.life.phase() != RequestPhase.PERMITTING) {
			return;
		}
		if (permit == FlightPermit.GO) {
			this.life.transmit();
		}
		else if (permit == FlightPermit.WAIT) {
			this.life.wakeAfter(this.life.context().settings().flightPollTime());
		}
		else {
			this.life.isolation().suspect();
			this.life.isolate();
		}
	}

	void crashRecorded() {
		if (this.life.phase() == RequestPhase.CHARGING) {
			this.life.charged();
		}
	}

	void startNotSent(AttemptId attempt) {
		boolean awaitsStart = this.life.phase() == RequestPhase.SENT || this.life.phase() == RequestPhase.SEALING;
		if (awaitsStart && attempt.number() == this.life.attempts()) {
			this.life.proven(NotRunEvidence.NEVER_SENT, RequestErrors.at(ErrorCode.UNAVAILABLE, Step.SEND,
					this.life.followed().orElseThrow(), "No connection to the sidecar; the attempt was not sent"));
		}
	}

	void started(AttemptId attempt) {
		this.life.followed().orElseThrow().start(attempt);
		if (this.life.phase() == RequestPhase.SEALING) {
			this.life.closeRunning();
		}
		else if (this.life.phase().followsAttempt()) {
			this.life.enterRunning();
		}
	}

	void part(AttemptId attempt, long sequence, AnswerPart part) {
		FollowedAttempt source = this.life.followed().orElseThrow();
		if (!source.hasStarted()) {
			started(attempt);
		}
		if (!this.life.phase().followsAttempt() || sequence < source.nextSequence()) {
			return;
		}
		if (sequence > source.nextSequence()) {
			resumeOnce(source);
			return;
		}
		source.add(part);
		source.resume();
		this.life.caller().deliver(part);
		if (part instanceof AnswerEnd) {
			complete(source);
		}
		else {
			this.life.enterRunning();
		}
	}

	void sealed() {
		FollowedAttempt source = this.life.followed().orElseThrow();
		boolean noParts = !source.hasParts();
		if (!this.life.context()
			.invariants()
			.holds(noParts, "sealed-attempt-has-no-answer", Field.of("request", id()))) {
			return;
		}
		if (source.isJoined()) {
			this.life.leave();
			this.life.claim().releaseWith(source.proof(NotRunEvidence.SEALED));
			this.life.route();
		}
		else {
			this.life.proven(NotRunEvidence.SEALED, RequestErrors.at(ErrorCode.UNAVAILABLE, Step.SEAL, source,
					"The sidecar sealed the attempt before it started"));
		}
	}

	void refused(AttemptRefusal refusal) {
		FollowedAttempt source = this.life.followed().orElseThrow();
		OperationError error = RequestErrors.at(ErrorCode.UNAVAILABLE, Step.RUN, source,
				"The sidecar refused the attempt: " + refusal);
		if (refusal.provesNotRun() && !source.isJoined() && !source.hasParts()) {
			this.life.proven(NotRunEvidence.SEALED, error);
		}
		else {
			this.life.claim().markUnknown(source.request());
			this.life.lost(RetryCause.BROKEN, error);
		}
	}

	void ended(AttemptEnd end, int crash) {
		FollowedAttempt source = this.life.followed().orElseThrow();
		OperationError error = RequestErrors.at(ErrorCode.BACKEND_ERROR, Step.RUN, source,
				"The attempt ended without an answer: " + end);
		this.life.claim().markUnknown(source.request());
		if (end == AttemptEnd.CRASHED && !source.isJoined()) {
			this.life.isolation().charge(source, CrashEvidence.BACKEND_CRASHED, crash);
			this.life.lost(RetryCause.CRASHED, error);
		}
		else {
			this.life.isolation().release(IsolationEnd.SURVIVED);
			this.life.lost(RetryCause.BROKEN, error);
		}
	}

	void connectionLost() {
		this.life.followed().orElseThrow().suspend();
	}

	void connectionRestored() {
		FollowedAttempt source = this.life.followed().orElseThrow();
		source.resume();
		if (source.hasParts() || (source.hasStarted() && this.life.phase() == RequestPhase.RUNNING)) {
			resumeOnce(source);
		}
		else if (source.isJoined()) {
			this.life.context()
				.emit(new SendClaimQuery(source.request(), source.backendServer(), source.incarnation()));
		}
		else {
			this.life.context().emit(source.sealCommand());
		}
	}

	void sidecarLost() {
		FollowedAttempt source = this.life.followed().orElseThrow();
		OperationError error = RequestErrors.at(ErrorCode.CONNECTION_LOST, Step.RUN, source,
				"The sidecar restarted or cannot be reached");
		if (source.isJoined()) {
			this.life.finish(Outcome.UNKNOWN, error);
		}
		else {
			this.life.isolation().charge(source, CrashEvidence.SIDECAR_LOST, 0);
			this.life.lost(RetryCause.SIDECAR_LOST, error);
		}
	}

	void cancel() {
		if (!this.life.isClosing()) {
			this.life.close(RequestErrors.cancelled());
		}
	}

	void timePassed() {
		if (this.life.isOverdue()) {
			this.life.close(RequestErrors.deadline());
		}
		else if (this.life.isTimerDue()) {
			timerFired();
		}
	}

	private void timerFired() {
		if (this.life.caller().isDetached()) {
			this.life.enter(RequestPhase.DONE);
		}
		else if (this.life.phase() == RequestPhase.BACKING_OFF) {
			this.life.routeOrIsolate();
		}
		else if (this.life.phase() == RequestPhase.ISOLATING) {
			this.life.isolate();
		}
		else if (this.life.phase() == RequestPhase.PERMITTING) {
			this.life.askFlight();
		}
		else if (this.life.phase() == RequestPhase.RELEASING) {
			this.life.released(false);
		}
		else if (this.life.phase() == RequestPhase.SEALING) {
			this.life.lost(RetryCause.BROKEN, RequestErrors.unsealed());
		}
		else if (this.life.phase().followsAttempt()) {
			probe();
		}
	}

	private void claimFound(ClaimState state) {
		if (state instanceof ClaimCompleted completed) {
			this.life.caller().deliver(completed.answer());
			this.life.finish(Outcome.COMPLETED, Optional.empty());
		}
		else if (state instanceof ClaimRunning running && running.owner().equals(id())) {
			this.life.claim().releaseOwn(running);
			this.life.backOff(RECLAIM_DELAY);
		}
		else if (state instanceof ClaimRunning running) {
			this.life.join(running);
		}
		else {
			this.life.finish(Outcome.UNKNOWN, RequestErrors.earlierUnknown());
		}
	}

	private void complete(FollowedAttempt source) {
		source.answer().ifPresent((answer) -> this.life.claim().finish(source.request(), answer));
		this.life.isolation().release(IsolationEnd.SURVIVED);
		this.life.finish(Outcome.COMPLETED, Optional.empty());
	}

	private void probe() {
		FollowedAttempt source = this.life.followed().orElseThrow();
		if (!source.isSuspended()) {
			this.life.context().emit(new ProbeConnection(source.backendServer(), source.incarnation()));
		}
		this.life.wakeAfter(this.life.context().settings().progressTime());
	}

	private void resumeOnce(FollowedAttempt source) {
		if (source.shouldResume()) {
			this.life.context().emit(source.resumeCommand());
		}
	}

}
