package org.comfreywall.entry.request;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.NotRunEvidence;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;

/**
 * The state of one request and the transitions between its phases.
 */
final class RequestState {

	private final RequestContext context;

	private final RequestSpec spec;

	private final long deadline;

	private final ClaimHandle claim;

	private final IsolationHandle isolation;

	private final FlightPermitHandle flight;

	private final CallerResponder caller;

	/**
	 * Backend servers that provably did not run an attempt of the request; at most one
	 * per attempt.
	 */
	private final Set<BackendServerId> excluded = new LinkedHashSet<>();

	private RequestPhase phase = RequestPhase.ROUTING;

	private Optional<FollowedAttempt> followed = Optional.empty();

	private Optional<AttemptTarget> target = Optional.empty();

	private Optional<OperationError> closeReason = Optional.empty();

	private int attempts;

	private boolean mayHaveRun;

	private long timer = Long.MAX_VALUE;

	RequestState(RequestContext context, RequestSpec spec, long deadline) {
		this.context = context;
		this.spec = spec;
		this.deadline = deadline;
		this.claim = new ClaimHandle(context, spec);
		this.isolation = new IsolationHandle(context, spec);
		this.flight = new FlightPermitHandle(context, spec);
		this.caller = new CallerResponder(context, spec.id());
	}

	RequestContext context() {
		return this.context;
	}

	RequestSpec spec() {
		return this.spec;
	}

	ClaimHandle claim() {
		return this.claim;
	}

	IsolationHandle isolation() {
		return this.isolation;
	}

	FlightPermitHandle flight() {
		return this.flight;
	}

	CallerResponder caller() {
		return this.caller;
	}

	RequestPhase phase() {
		return this.phase;
	}

	Optional<FollowedAttempt> followed() {
		return this.followed;
	}

	int attempts() {
		return this.attempts;
	}

	boolean isClosing() {
		return this.closeReason.isPresent() || this.caller.isDetached();
	}

	boolean isDeadlineExceeded() {
		return !isClosing() && this.context.now() >= this.deadline;
	}

	boolean isTimerDue() {
		return this.context.now() >= this.timer;
	}

	long nextTimer() {
		return isClosing() ? this.timer : Math.min(this.timer, this.deadline);
	}

	void setTimer(Duration delay) {
		this.timer = this.context.timeAfter(delay);
	}

	void route() {
		enter(RequestPhase.ROUTING);
		this.context.emit(new ChooseRoute(this.spec.id(), this.excluded, this.isolation.isHeld()));
	}

	void routeOrIsolate() {
		if (this.isolation.isSuspected() && !this.isolation.isHeld()) {
			acquireIsolation();
		}
		else {
			route();
		}
	}

	// A granted claim is kept instead of being released and acquired again: the driver
	// retries releases, and a delayed duplicate could release the new claim.
	void sendOrRoute() {
		if (this.claim.isGranted()) {
			send(this.target.orElseThrow());
		}
		else {
			route();
		}
	}

	void acquireIsolation() {
		enter(RequestPhase.ISOLATING);
		this.isolation.acquire();
	}

	void send(AttemptTarget selected) {
		this.target = Optional.of(selected);
		if (this.isolation.isHeld() || this.flight.isPermitted()) {
			transmit(selected);
		}
		else {
			requestFlightPermit();
		}
	}

	void requestFlightPermit() {
		enter(RequestPhase.AWAITING_PERMIT);
		this.flight.requestPermit();
	}

	void transmit() {
		this.flight.markPermitted();
		transmit(this.target.orElseThrow());
	}

	private void transmit(AttemptTarget destination) {
		boolean cannotRunTwice = this.spec.idempotent()
				|| (!this.mayHaveRun && (this.claim.isGranted() || (!this.claim.isNeeded() && this.attempts == 0)));
		if (!this.context.invariants()
			.holds(cannotRunTwice, "non-idempotent-runs-once", Field.of("request", this.spec.id()))) {
			finish(Outcome.UNKNOWN, RequestErrors.mayRunTwice());
			return;
		}
		this.attempts++;
		AttemptId attempt = new AttemptId(this.spec.id(), this.attempts);
		this.followed = Optional
			.of(FollowedAttempt.own(attempt, destination, this.context.settings().maxAnswerBytes()));
		this.claim.markSent();
		enterFollowing(RequestPhase.SENT);
		this.context.emit(new SendStart(attempt, destination, new AttemptTraits(this.spec.fingerprint(),
				this.spec.idempotent(), this.claim.isNeeded(), this.isolation.isHeld())));
	}

	void join(ClaimRunning running) {
		this.flight.reportEnd(FlightEnd.UNDECIDED);
		this.isolation.release(IsolationEnd.NOT_RUN);
		FollowedAttempt source = FollowedAttempt.joined(running, this.context.settings().maxAnswerBytes());
		this.followed = Optional.of(source);
		enterFollowing(RequestPhase.JOINING);
		this.context.emit(new SendClaimQuery(source.request(), source.backendServer(), source.incarnation()));
	}

	void stopFollowing() {
		this.followed = Optional.empty();
	}

	void handleNotRun(NotRunEvidence evidence, OperationError error) {
		this.claim.recordEvidence(evidence);
		this.isolation.release(IsolationEnd.NOT_RUN);
		this.excluded.add(this.followed.orElseThrow().backendServer());
		this.followed = Optional.empty();
		boolean retryable = this.spec.idempotent() || this.claim.isNeeded();
		if (this.closeReason.isEmpty() && retryable) {
			retry(RetryCause.REFUSED, error);
		}
		else {
			giveUp(this.closeReason.orElse(error));
		}
	}

	void handleAttemptFailure(RetryCause cause, OperationError error) {
		this.mayHaveRun = true;
		boolean retryable = this.spec.idempotent() && !this.followed.orElseThrow().hasParts();
		if (retryable && this.closeReason.isEmpty()) {
			this.followed = Optional.empty();
			retry(cause, error);
		}
		else {
			endWithoutRetry(cause == RetryCause.CRASHED || cause == RetryCause.SIDECAR_LOST,
					this.closeReason.orElse(error));
		}
	}

	private void giveUpAfterRecordingCrash(OperationError error) {
		this.caller.complete(Outcome.UNKNOWN, Optional.of(error), this.attempts);
		this.caller.detach();
		this.followed = Optional.empty();
		enter(RequestPhase.RECORDING_CRASH);
		this.timer = this.context.timeAfter(this.context.settings().detachTime());
	}

	void handleCrashRecorded() {
		this.flight.reportEnd(FlightEnd.LOST);
		if (this.caller.isDetached()) {
			enter(RequestPhase.DONE);
		}
		else {
			acquireIsolation();
		}
	}

	void retry(RetryCause cause, OperationError error) {
		RetryDecision decision = this.context.retryPolicy()
			.decide(new RetryQuery(this.spec.id(), this.spec.fingerprint().account(), this.spec.fingerprint().service(),
					this.attempts, cause, this.deadline - this.context.now()));
		boolean inTime = this.context.timeAfter(decision.delay()) < this.deadline;
		this.context.record(DecisionKind.RETRY, this.spec.id(), (decision.allowed() && inTime) ? "retry" : "stop",
				Field.of("cause", cause), Field.of("attempts", this.attempts), Field.of("reason", decision.reason()));
		boolean crashed = cause == RetryCause.CRASHED || cause == RetryCause.SIDECAR_LOST;
		if (!decision.allowed() || !inTime) {
			endWithoutRetry(crashed, error);
			return;
		}
		this.claim.release();
		if (crashed) {
			this.isolation.markSuspected();
			enter(RequestPhase.RECORDING_CRASH);
		}
		else {
			backOff(decision.delay());
		}
	}

	private void endWithoutRetry(boolean crashed, OperationError error) {
		if (crashed) {
			giveUpAfterRecordingCrash(error);
		}
		else {
			giveUp(error);
		}
	}

	void backOff(Duration delay) {
		enter(RequestPhase.BACKING_OFF);
		if (delay.isZero()) {
			routeOrIsolate();
		}
		else {
			this.timer = this.context.timeAfter(delay);
		}
	}

	void close(OperationError error) {
		this.closeReason = Optional.of(error);
		if (this.followed.isEmpty()) {
			giveUp(error);
		}
		else if (this.followed.get().isJoined()) {
			finish(Outcome.UNKNOWN, error);
		}
		else if (this.followed.get().hasStarted()) {
			closeRunning();
		}
		else {
			enter(RequestPhase.SEALING);
			this.timer = this.context.timeAfter(this.context.settings().sealTime());
			this.context.emit(this.followed.get().sealCommand());
		}
	}

	void closeRunning() {
		this.mayHaveRun = true;
		if (this.spec.idempotent() && !this.isolation.isHeld()) {
			this.context.emit(this.followed.orElseThrow().cancelCommand());
			giveUp(this.closeReason.orElseThrow());
			return;
		}
		this.caller.complete(Outcome.UNKNOWN, this.closeReason, this.attempts);
		this.caller.detach();
		enter(RequestPhase.RUNNING);
		this.timer = this.context.timeAfter(this.context.settings().detachTime());
	}

	void giveUp(OperationError error) {
		if (!this.mayHaveRun && this.claim.canProveNotRun()) {
			this.closeReason = Optional.of(error);
			enter(RequestPhase.RELEASING);
			this.timer = this.context.timeAfter(this.context.settings().sealTime());
			this.claim.release();
		}
		else {
			boolean notRun = !this.mayHaveRun && !this.claim.isNeeded();
			finish(notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN, error);
		}
	}

	void finishAfterRelease(boolean wasHeld) {
		finish(wasHeld ? Outcome.NOT_RUN : Outcome.UNKNOWN, this.closeReason);
	}

	void finish(Outcome outcome, OperationError error) {
		finish(outcome, Optional.of(error));
	}

	void finish(Outcome outcome, Optional<OperationError> error) {
		this.caller.complete(outcome, error, this.attempts);
		this.isolation.release(this.followed.isEmpty() ? IsolationEnd.NOT_RUN : IsolationEnd.LOST);
		this.flight.reportEnd((outcome == Outcome.COMPLETED) ? FlightEnd.SURVIVED : FlightEnd.UNDECIDED);
		this.claim.release();
		this.followed = Optional.empty();
		enter(RequestPhase.DONE);
	}

	void enterRunning() {
		if (this.caller.isDetached()) {
			return;
		}
		enterFollowing(RequestPhase.RUNNING);
	}

	void enterFollowing(RequestPhase next) {
		enter(next);
		this.timer = this.context.timeAfter(this.context.settings().progressTime());
	}

	void enter(RequestPhase next) {
		this.phase = next;
		this.timer = Long.MAX_VALUE;
	}

}
