package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.entry.request.ChooseRoute;
import org.comfreywall.entry.request.CompleteRequest;
import org.comfreywall.entry.request.ConnectionLost;
import org.comfreywall.entry.request.ConnectionRestored;
import org.comfreywall.entry.request.DeliverPart;
import org.comfreywall.entry.request.FlightAnswered;
import org.comfreywall.entry.request.FlightPermit;
import org.comfreywall.entry.request.ProbeConnection;
import org.comfreywall.entry.request.ReportFlightEnd;
import org.comfreywall.entry.request.RequestAccepted;
import org.comfreywall.entry.request.RequestCommand;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.entry.request.RequestFlightPermit;
import org.comfreywall.entry.request.RequestTracker;
import org.comfreywall.entry.request.RequestTrackerSettings;
import org.comfreywall.entry.request.RetryDecision;
import org.comfreywall.entry.request.RouteChosen;
import org.comfreywall.entry.request.RouteUnavailable;
import org.comfreywall.entry.request.SidecarLost;
import org.comfreywall.entry.request.SingleFlightGuard;
import org.comfreywall.entry.request.SingleFlightGuardSettings;
import org.comfreywall.entry.request.StartNotSent;
import org.comfreywall.entry.request.TimePassed;
import org.comfreywall.sidecar.attempt.EntryLink;
import org.comfreywall.sidecar.attempt.LinkLost;

/**
 * A simulated entry, with the real {@link RequestTracker} and {@link SingleFlightGuard}.
 * Routing is round robin, and an {@link EntryDriver} calls the sidecars and ledgers.
 */
final class EntryNode extends Node {

	static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);

	static final SingleFlightGuardSettings GUARD_SETTINGS = new SingleFlightGuardSettings(Duration.ofSeconds(1),
			Duration.ofMinutes(10), 100_000);

	private static final RequestTrackerSettings TRACKER_SETTINGS = new RequestTrackerSettings(10_000,
			Duration.ofMillis(150), Duration.ofMillis(200), Duration.ofMillis(10), Duration.ofMillis(50),
			Duration.ofSeconds(4), 1024);

	private static final Duration RESTART_DELAY = Duration.ofMillis(100);

	/** The maximum age of a sidecar's last published state for routing to it. */
	private static final Duration VIEW_EXPIRY = Duration.ofMillis(250);

	private static final Duration VERDICT_REFRESH_INTERVAL = Duration.ofMillis(300);

	private static final Duration PROBE_TIMEOUT = Duration.ofMillis(100);

	private static final Duration GUARD_TIMEOUT = Duration.ofMillis(60);

	private static final int MAX_ATTEMPTS = 5;

	private final Simulation simulation;

	private final Map<String, SidecarView> views = new HashMap<>();

	private final Map<RequestId, Submission> submissions = new HashMap<>();

	private final Map<String, Boolean> blackholed = new HashMap<>();

	/** When the guard for a request first did not answer, in virtual nanoseconds. */
	private final Map<RequestId, Long> guardUnreachableSince = new HashMap<>();

	private final EntryDriver driver;

	private Map<Fingerprint, PoisonVerdict> verdicts = Map.of();

	private RequestTracker tracker;

	private SingleFlightGuard guard;

	private long connectionNumber;

	private long routedCount;

	private long timerDueAt;

	EntryNode(Simulation simulation, String name, int region) {
		super(name, region);
		this.simulation = simulation;
		this.driver = new EntryDriver(simulation, this);
		resetState();
		refreshVerdicts();
	}

	void submit(Submission submission) {
		this.simulation.ruleChecker().recordSubmission(submission);
		if (!isAlive()) {
			submission.loseConnection();
			return;
		}
		this.submissions.put(submission.id(), submission);
		PoisonVerdict verdict = this.verdicts.getOrDefault(submission.operation().fingerprint(), PoisonVerdict.CLEAR);
		handle(new RequestAccepted(submission.operation().requestSpec(submission.id()),
				this.simulation.now() + REQUEST_TIMEOUT.toNanos(), verdict));
	}

	void handle(RequestEvent event) {
		if (!isAlive()) {
			return;
		}
		List<RequestCommand> commands = this.tracker.handle(event, this.simulation.now());
		commands.forEach(this::execute);
		scheduleTimer();
		if (this.simulation.faults().crashesEntry(event.getClass())) {
			crash();
		}
	}

	void updateSidecar(AttemptTarget target, boolean draining) {
		SidecarView previous = this.views.get(target.backendServer().value());
		if (previous != null && target.incarnation().isBefore(previous.target().incarnation())) {
			return;
		}
		this.views.put(target.backendServer().value(), new SidecarView(target, draining, this.simulation.now()));
		if (previous != null && previous.target().incarnation().isBefore(target.incarnation())) {
			handle(new SidecarLost(target.backendServer(), previous.target().incarnation()));
		}
	}

	void crash() {
		stop();
		EntryLink link = link();
		for (SidecarNode sidecar : this.simulation.sidecars()) {
			this.simulation.send(this, sidecar, () -> sidecar.receive(new LinkLost(link)));
		}
		List<Submission> interrupted = new ArrayList<>(this.submissions.values());
		interrupted.sort(Comparator.comparing((submission) -> submission.id()));
		this.submissions.clear();
		interrupted.forEach(Submission::loseConnection);
		this.simulation.schedule(RESTART_DELAY, () -> {
			restart();
			resetState();
		});
	}

	/**
	 * Drops all messages of the current connection to a sidecar. The loss ends when the
	 * entry opens a new connection.
	 * @param sidecar the name of the sidecar
	 */
	void blackhole(String sidecar) {
		this.blackholed.put(sidecar, true);
	}

	boolean isBlackholed(String sidecar) {
		return this.blackholed.getOrDefault(sidecar, false);
	}

	EntryLink link() {
		return new EntryLink(InstanceId.of(name()), this.connectionNumber);
	}

	SingleFlightGuard guard() {
		return this.guard;
	}

	private void execute(RequestCommand command) {
		if (command instanceof ChooseRoute route) {
			long incarnation = incarnationNumber();
			this.simulation.scheduleUnlessRestarted(this, Duration.ofNanos(incarnation), () -> chooseRoute(route));
		}
		else if (command instanceof DeliverPart part) {
			Optional.ofNullable(this.submissions.get(part.request()))
				.ifPresent((submission) -> submission.receivePart(part.part()));
		}
		else if (command instanceof CompleteRequest complete) {
			Submission submission = this.submissions.remove(complete.request());
			this.guardUnreachableSince.remove(complete.request());
			submission.complete(complete.outcome());
		}
		else if (command instanceof RequestFlightPermit permit) {
			requestFlightPermit(permit);
		}
		else if (command instanceof ReportFlightEnd end) {
			EntryNode owner = guardEntry(end.fingerprint());
			this.simulation.send(this, owner,
					() -> owner.guard.recordEnd(end.fingerprint(), end.request(), end.end(), this.simulation.now()));
		}
		else if (command instanceof ProbeConnection probe) {
			probe(probe.backendServer(), probe.incarnation());
		}
		else {
			this.driver.execute(command);
		}
	}

	Optional<Operation> operation(AttemptId attempt) {
		return Optional.ofNullable(this.submissions.get(attempt.request())).map(Submission::operation);
	}

	private void chooseRoute(ChooseRoute route) {
		Set<BackendServerId> excluded = route.excluded();
		List<SidecarView> candidates = this.views.values()
			.stream()
			.filter((view) -> !view.draining() && view.receivedAt() + VIEW_EXPIRY.toNanos() >= this.simulation.now())
			.filter((view) -> !excluded.contains(view.target().backendServer()))
			.sorted(Comparator.comparing((view) -> view.target().backendServer()))
			.toList();
		if (candidates.isEmpty()) {
			handle(new RouteUnavailable(route.request(), OperationError.local(ErrorCode.UNAVAILABLE, Step.ROUTE,
					"No eligible backend server: all are excluded, draining or stale")));
			return;
		}
		SidecarView chosen = candidates.get((int) (this.routedCount++ % candidates.size()));
		handle(new RouteChosen(route.request(), chosen.target()));
	}

	private void requestFlightPermit(RequestFlightPermit command) {
		EntryNode owner = guardEntry(command.fingerprint());
		boolean[] answered = new boolean[1];
		long incarnation = incarnationNumber();
		this.simulation.send(this, owner, () -> {
			FlightPermit permit = owner.guard.requestPermit(command.fingerprint(), command.request(), command.cleared(),
					this.simulation.now());
			this.simulation.send(owner, this, () -> {
				if (!answered[0] && incarnationNumber() == incarnation) {
					answered[0] = true;
					handle(new FlightAnswered(command.request(), permit));
				}
			});
		});
		this.simulation.scheduleUnlessRestarted(this, GUARD_TIMEOUT, () -> {
			if (!answered[0]) {
				answered[0] = true;
				handle(new FlightAnswered(command.request(), permitWithoutGuard(command.request())));
			}
		});
	}

	// Waits out the flight time, after which a run that the guard allowed no longer
	// blocks.
	private FlightPermit permitWithoutGuard(RequestId request) {
		long since = this.guardUnreachableSince.computeIfAbsent(request, (key) -> this.simulation.now());
		if (this.simulation.now() - since < GUARD_SETTINGS.flightTime().toNanos()) {
			return FlightPermit.WAIT;
		}
		this.guardUnreachableSince.remove(request);
		return FlightPermit.GO;
	}

	private EntryNode guardEntry(Fingerprint fingerprint) {
		List<EntryNode> entries = this.simulation.entries();
		return entries.get(Math.floorMod(fingerprint.bodyDigest().hashCode(), entries.size()));
	}

	private void probe(BackendServerId server, Incarnation expected) {
		SidecarNode sidecar = this.simulation.sidecar(server.value());
		boolean[] answered = new boolean[1];
		EntryLink oldLink = link();
		this.blackholed.remove(server.value());
		this.simulation.send(this, sidecar, () -> {
			sidecar.receive(new LinkLost(oldLink));
			boolean same = sidecar.incarnation().equals(expected);
			this.simulation.send(sidecar, this, () -> {
				if (!answered[0]) {
					answered[0] = true;
					handleReconnect(server, expected, same);
				}
			});
		});
		this.simulation.scheduleUnlessRestarted(this, PROBE_TIMEOUT, () -> {
			if (!answered[0]) {
				answered[0] = true;
				handle(new SidecarLost(server, expected));
			}
		});
	}

	private void handleReconnect(BackendServerId server, Incarnation expected, boolean sameIncarnation) {
		this.connectionNumber++;
		if (sameIncarnation) {
			handle(new ConnectionLost(server, expected));
			handle(new ConnectionRestored(server, expected));
		}
		else {
			handle(new SidecarLost(server, expected));
		}
	}

	void reportNotSent(AttemptId attempt) {
		this.simulation.scheduleUnlessRestarted(this, Duration.ofMillis(1), () -> handle(new StartNotSent(attempt)));
	}

	private void refreshVerdicts() {
		this.simulation.ledger().call(this, LedgerNode::poisonVerdicts, (current) -> this.verdicts = current);
		this.simulation.schedule(VERDICT_REFRESH_INTERVAL, this::refreshVerdicts);
	}

	private void scheduleTimer() {
		OptionalLong next = this.tracker.nextTimer();
		if (next.isEmpty() || next.getAsLong() >= this.timerDueAt) {
			return;
		}
		long at = next.getAsLong();
		this.timerDueAt = at;
		this.simulation.scheduleUnlessRestarted(this, Duration.ofNanos(Math.max(0, at - this.simulation.now())), () -> {
			if (this.timerDueAt == at) {
				this.timerDueAt = Long.MAX_VALUE;
				handle(new TimePassed());
			}
		});
	}

	private void resetState() {
		this.timerDueAt = Long.MAX_VALUE;
		this.connectionNumber = incarnationNumber() * 1_000_000;
		this.views.clear();
		this.blackholed.clear();
		this.guardUnreachableSince.clear();
		this.guard = new SingleFlightGuard(GUARD_SETTINGS, this.simulation.now());
		this.tracker = new RequestTracker(TRACKER_SETTINGS,
				(query) -> (query.attempts() < MAX_ATTEMPTS) ? RetryDecision.after(Duration.ofMillis(5))
						: RetryDecision.stop("attempts"),
				this.simulation.invariants(), (record) -> this.simulation.decisionListener().onDecision(record));
	}

	private record SidecarView(AttemptTarget target, boolean draining, long receivedAt) {

	}

}
