package org.comfreywall.entry.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * Drives callers' requests from admission to their outcome.
 * <p>
 * A non-idempotent request with an idempotency key is sent only after its claim on the
 * key was granted; without a key it is sent at most once. The outcome {@code NOT_RUN} is
 * reported only with proof: the request was not passed to a connection, or the sidecar
 * sealed it. With a key, the claim must also be held until its release, which proves that
 * no earlier request with the key ran. The tracker performs no I/O and has no threads or
 * clock of its own: the driver passes each event with the current time, executes the
 * returned commands in order, and passes {@link TimePassed} at {@link #nextTimer()}. Not
 * thread-safe.
 */
public final class RequestTracker {

	private static final Comparator<Timer> TIMER_ORDER = Comparator.comparingLong(Timer::at)
		.thenComparing(Timer::request);

	private final RequestContext context;

	/** Requests in progress; bounded by the capacity. */
	private final Map<RequestId, RequestStateMachine> machines = new HashMap<>();

	/** The state machines that wait for an attempt of a request, by that request. */
	private final Map<RequestId, List<RequestStateMachine>> followers = new HashMap<>();

	private final Map<RequestId, Timer> timers = new HashMap<>();

	private final TreeSet<Timer> timerQueue = new TreeSet<>(TIMER_ORDER);

	/**
	 * Creates a tracker without requests.
	 * @param settings the timeouts and bounds
	 * @param retryPolicy decides about retries
	 * @param invariants checks invariants
	 * @param listener receives a record of each decision
	 */
	public RequestTracker(RequestTrackerSettings settings, RetryPolicy retryPolicy, Invariants invariants,
			DecisionListener listener) {
		Preconditions.notNull(settings, "settings");
		Preconditions.notNull(retryPolicy, "retryPolicy");
		Preconditions.notNull(invariants, "invariants");
		Preconditions.notNull(listener, "listener");
		this.context = new RequestContext(settings, retryPolicy, invariants, listener);
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the time in nanoseconds; a time before that of the previous event counts
	 * as that of the previous event
	 * @return the commands to execute, in order
	 */
	public List<RequestCommand> handle(RequestEvent event, long now) {
		Preconditions.notNull(event, "event");
		this.context.advance(now);
		if (!dispatchByRequest(event)) {
			dispatchByAttempt(event);
		}
		return this.context.drainCommands();
	}

	/**
	 * Returns the time of the next timer.
	 * @return the time in nanoseconds, or empty if no timer is set
	 */
	public OptionalLong nextTimer() {
		return this.timerQueue.isEmpty() ? OptionalLong.empty() : OptionalLong.of(this.timerQueue.first().at());
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the count
	 */
	public int size() {
		return this.machines.size();
	}

	private boolean dispatchByRequest(RequestEvent event) {
		if (event instanceof RequestAccepted accepted) {
			accept(accepted);
		}
		else if (event instanceof RouteChosen route) {
			applyToRequest(route.request(), (machine) -> machine.routeChosen(route.target()));
		}
		else if (event instanceof RouteUnavailable route) {
			applyToRequest(route.request(), (machine) -> machine.routeUnavailable(route.error()));
		}
		else if (event instanceof ClaimAnswered claim) {
			applyToRequest(claim.request(), (machine) -> machine.claimAnswered(claim.target(), claim.result()));
		}
		else if (event instanceof ClaimFailed claim) {
			applyToRequest(claim.request(), (machine) -> machine.claimFailed(claim.error()));
		}
		else if (event instanceof ClaimReleased release) {
			applyToRequest(release.proof().owner(),
					(machine) -> machine.claimReleased(release.proof(), release.released()));
		}
		else if (event instanceof FlightAnswered flight) {
			applyToRequest(flight.request(), (machine) -> machine.flightAnswered(flight.permit()));
		}
		else if (event instanceof IsolationAnswered isolation) {
			isolationAnswered(isolation);
		}
		else if (event instanceof CrashRecorded crash) {
			applyToRequest(crash.request(), RequestStateMachine::crashRecorded);
		}
		else if (event instanceof CallerCancelled cancelled) {
			applyToRequest(cancelled.request(), RequestStateMachine::cancel);
		}
		else if (event instanceof TimePassed) {
			fireTimers();
		}
		else {
			return false;
		}
		return true;
	}

	private void dispatchByAttempt(RequestEvent event) {
		if (event instanceof PartReceived part) {
			applyToAttempt(part.attempt(), part.backendServer(), part.incarnation(),
					(machine) -> machine.partReceived(part.attempt(), part.sequence(), part.part()));
		}
		else if (event instanceof StartedReceived started) {
			applyToAttempt(started.attempt(), started.backendServer(), started.incarnation(),
					(machine) -> machine.attemptStarted(started.attempt()));
		}
		else if (event instanceof EndReceived end) {
			applyToAttempt(end.attempt(), end.backendServer(), end.incarnation(),
					(machine) -> machine.attemptEnded(end.end(), end.crashNumber()));
		}
		else if (event instanceof RefusalReceived refusal) {
			applyToAttempt(refusal.attempt(), refusal.backendServer(), refusal.incarnation(),
					(machine) -> machine.attemptRefused(refusal.refusal()));
		}
		else if (event instanceof SealedReceived sealed) {
			applyToSealed(sealed);
		}
		else if (event instanceof StartNotSent notSent) {
			applyToRequest(notSent.attempt().request(), (machine) -> machine.startNotSent(notSent.attempt()));
		}
		else if (event instanceof ConnectionLost lost) {
			applyToSidecar(lost.backendServer(), lost.incarnation(), RequestStateMachine::connectionLost);
		}
		else if (event instanceof ConnectionRestored restored) {
			applyToSidecar(restored.backendServer(), restored.incarnation(), RequestStateMachine::connectionRestored);
		}
		else if (event instanceof SidecarLost lost) {
			applyToSidecar(lost.backendServer(), lost.incarnation(), RequestStateMachine::sidecarLost);
		}
	}

	private void accept(RequestAccepted accepted) {
		RequestId request = accepted.spec().id();
		boolean isNew = !this.machines.containsKey(request);
		if (!this.context.invariants().holds(isNew, "request-id-is-new")) {
			return;
		}
		if (this.machines.size() >= this.context.settings().capacity()) {
			Outcome outcome = accepted.spec().claimKey().isPresent() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
			this.context.emit(new CompleteRequest(request, outcome,
					Optional.of(OperationError.local(ErrorCode.OVERLOADED, Step.ACCEPT,
							"The entry has reached its limit of concurrent requests; send the request again later"))));
			return;
		}
		RequestStateMachine machine = new RequestStateMachine(this.context, accepted.spec(), accepted.deadline());
		this.machines.put(request, machine);
		apply(machine, (accepting) -> accepting.accepted(accepted.verdict()));
	}

	private void isolationAnswered(IsolationAnswered answer) {
		RequestStateMachine machine = this.machines.get(answer.request());
		if (machine != null && machine.isIsolating()) {
			apply(machine, (isolating) -> isolating.isolationAnswered(answer.result()));
		}
		else if (answer.result() == IsolationResult.GRANTED && (machine == null || !machine.holdsIsolation())) {
			this.context.emit(new ReleaseIsolation(answer.request(), answer.fingerprint(), IsolationEnd.NOT_RUN));
		}
	}

	private void fireTimers() {
		while (!this.timerQueue.isEmpty() && this.timerQueue.first().at() <= this.context.now()) {
			apply(this.machines.get(this.timerQueue.first().request()), RequestStateMachine::timePassed);
		}
	}

	private void applyToRequest(RequestId request, Consumer<RequestStateMachine> action) {
		RequestStateMachine machine = this.machines.get(request);
		if (machine != null) {
			apply(machine, action);
		}
	}

	private void applyToAttempt(AttemptId attempt, BackendServerId server, Incarnation incarnation,
			Consumer<RequestStateMachine> action) {
		for (RequestStateMachine machine : followersOf(attempt.request())) {
			if (machine.follows((source) -> source.matches(attempt, server, incarnation))) {
				apply(machine, action);
			}
		}
	}

	private void applyToSealed(SealedReceived sealed) {
		for (RequestStateMachine machine : followersOf(sealed.attempt().request())) {
			if (machine.follows((source) -> source.isSealedBy(sealed))) {
				apply(machine, RequestStateMachine::attemptSealed);
			}
		}
	}

	private void applyToSidecar(BackendServerId server, Incarnation incarnation, Consumer<RequestStateMachine> action) {
		for (RequestStateMachine machine : List.copyOf(this.machines.values())) {
			if (machine.follows((source) -> source.isOnSidecar(server, incarnation))) {
				apply(machine, action);
			}
		}
	}

	private List<RequestStateMachine> followersOf(RequestId request) {
		return List.copyOf(this.followers.getOrDefault(request, List.of()));
	}

	private void apply(RequestStateMachine machine, Consumer<RequestStateMachine> action) {
		Optional<RequestId> before = machine.followedRequest();
		action.accept(machine);
		Optional<RequestId> after = machine.followedRequest();
		if (!before.equals(after)) {
			before.ifPresent((request) -> unfollow(request, machine));
			after.ifPresent(
					(request) -> this.followers.computeIfAbsent(request, (key) -> new ArrayList<>(1)).add(machine));
		}
		schedule(machine);
		if (machine.isDone()) {
			this.machines.remove(machine.id());
		}
	}

	private void unfollow(RequestId request, RequestStateMachine machine) {
		List<RequestStateMachine> list = this.followers.get(request);
		list.remove(machine);
		if (list.isEmpty()) {
			this.followers.remove(request);
		}
	}

	private void schedule(RequestStateMachine machine) {
		Timer previous = this.timers.remove(machine.id());
		if (previous != null) {
			this.timerQueue.remove(previous);
		}
		if (!machine.isDone() && machine.nextTimer() != Long.MAX_VALUE) {
			Timer next = new Timer(machine.nextTimer(), machine.id());
			this.timers.put(machine.id(), next);
			this.timerQueue.add(next);
		}
	}

	private record Timer(long at, RequestId request) {

	}

}
