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
 * An entry with the real tracker and guard, behind a small stand-in driver.
 */
final class EntryNode extends Node {

	static final Duration DEADLINE = Duration.ofSeconds(4);

	static final SingleFlightGuardSettings GUARD = new SingleFlightGuardSettings(Duration.ofSeconds(1),
			Duration.ofMinutes(10), 100_000);

	private static final RequestTrackerSettings SETTINGS = new RequestTrackerSettings(10_000, Duration.ofMillis(150),
			Duration.ofMillis(200), Duration.ofMillis(10), Duration.ofMillis(50), Duration.ofSeconds(4), 1024);

	private static final Duration RESTART_TIME = Duration.ofMillis(100);

	private static final Duration VIEW_TIME = Duration.ofMillis(250);

	private static final Duration VERDICT_TIME = Duration.ofMillis(300);

	private static final Duration PROBE_TIME = Duration.ofMillis(100);

	private static final Duration GUARD_TIME = Duration.ofMillis(60);

	private static final int MAX_ATTEMPTS = 5;

	private final World world;

	private final Map<String, SidecarView> views = new HashMap<>();

	private final Map<RequestId, Sending> sendings = new HashMap<>();

	private final Map<String, Boolean> silent = new HashMap<>();

	/** When the guard of a request could not be reached for the first time. */
	private final Map<RequestId, Long> unguarded = new HashMap<>();

	private final EntryDriver driver;

	private Map<Fingerprint, PoisonVerdict> verdicts = Map.of();

	private RequestTracker tracker;

	private SingleFlightGuard guard;

	private long connection;

	private long routed;

	private long timerAt;

	EntryNode(World world, String name, int region) {
		super(name, region);
		this.world = world;
		this.driver = new EntryDriver(world, this);
		reset();
		learnVerdicts();
	}

	void accept(Sending sending) {
		this.world.observer().sent(sending);
		if (!isAlive()) {
			sending.abandon();
			return;
		}
		this.sendings.put(sending.id(), sending);
		PoisonVerdict verdict = this.verdicts.getOrDefault(sending.operation().fingerprint(), PoisonVerdict.CLEAR);
		handle(new RequestAccepted(sending.operation().spec(sending.id()), this.world.now() + DEADLINE.toNanos(),
				verdict));
	}

	void handle(RequestEvent event) {
		if (!isAlive()) {
			return;
		}
		List<RequestCommand> commands = this.tracker.handle(event, this.world.now());
		commands.forEach(this::carryOut);
		setTimer();
		if (this.world.faults().crashesEntry(event.getClass())) {
			crash();
		}
	}

	void heard(AttemptTarget target, boolean draining) {
		SidecarView earlier = this.views.get(target.backendServer().value());
		if (earlier != null && target.incarnation().isBefore(earlier.target().incarnation())) {
			return;
		}
		this.views.put(target.backendServer().value(), new SidecarView(target, draining, this.world.now()));
		if (earlier != null && earlier.target().incarnation().isBefore(target.incarnation())) {
			handle(new SidecarLost(target.backendServer(), earlier.target().incarnation()));
		}
	}

	void crash() {
		stop();
		EntryLink link = link();
		for (SidecarNode sidecar : this.world.sidecars()) {
			this.world.send(this, sidecar, () -> sidecar.receive(new LinkLost(link)));
		}
		List<Sending> broken = new ArrayList<>(this.sendings.values());
		broken.sort(Comparator.comparing((sending) -> sending.id()));
		this.sendings.clear();
		broken.forEach(Sending::abandon);
		this.world.after(RESTART_TIME, () -> {
			restart();
			reset();
		});
	}

	/**
	 * Makes the connection to a sidecar silent for good; a new one works.
	 * @param sidecar the sidecar
	 */
	void silence(String sidecar) {
		this.silent.put(sidecar, true);
	}

	boolean isSilent(String sidecar) {
		return this.silent.getOrDefault(sidecar, false);
	}

	EntryLink link() {
		return new EntryLink(InstanceId.of(name()), this.connection);
	}

	SingleFlightGuard guard() {
		return this.guard;
	}

	private void carryOut(RequestCommand command) {
		if (command instanceof ChooseRoute route) {
			long life = life();
			this.world.afterIfSame(this, Duration.ofNanos(life), () -> route(route));
		}
		else if (command instanceof DeliverPart part) {
			Optional.ofNullable(this.sendings.get(part.request())).ifPresent((sending) -> sending.part(part.part()));
		}
		else if (command instanceof CompleteRequest complete) {
			Sending sending = this.sendings.remove(complete.request());
			this.unguarded.remove(complete.request());
			sending.complete(complete.outcome());
		}
		else if (command instanceof RequestFlightPermit ask) {
			askGuard(ask);
		}
		else if (command instanceof ReportFlightEnd end) {
			EntryNode owner = guardOf(end.fingerprint());
			this.world.send(this, owner,
					() -> owner.guard.recordEnd(end.fingerprint(), end.request(), end.end(), this.world.now()));
		}
		else if (command instanceof ProbeConnection probe) {
			probe(probe.backendServer(), probe.incarnation());
		}
		else {
			this.driver.carryOut(command);
		}
	}

	Optional<Operation> operation(AttemptId attempt) {
		return Optional.ofNullable(this.sendings.get(attempt.request())).map(Sending::operation);
	}

	private void route(ChooseRoute route) {
		Set<BackendServerId> excluded = route.excluded();
		List<SidecarView> candidates = this.views.values()
			.stream()
			.filter((view) -> !view.draining() && view.heardAt() + VIEW_TIME.toNanos() >= this.world.now())
			.filter((view) -> !excluded.contains(view.target().backendServer()))
			.sorted(Comparator.comparing((view) -> view.target().backendServer()))
			.toList();
		if (candidates.isEmpty()) {
			handle(new RouteUnavailable(route.request(),
					OperationError.local(ErrorCode.UNAVAILABLE, Step.ROUTE, "No backend server is known")));
			return;
		}
		SidecarView chosen = candidates.get((int) (this.routed++ % candidates.size()));
		handle(new RouteChosen(route.request(), chosen.target()));
	}

	private void askGuard(RequestFlightPermit ask) {
		EntryNode owner = guardOf(ask.fingerprint());
		boolean[] answered = new boolean[1];
		long life = life();
		this.world.send(this, owner, () -> {
			FlightPermit permit = owner.guard.requestPermit(ask.fingerprint(), ask.request(), ask.cleared(),
					this.world.now());
			this.world.send(owner, this, () -> {
				if (!answered[0] && life() == life) {
					answered[0] = true;
					handle(new FlightAnswered(ask.request(), permit));
				}
			});
		});
		this.world.afterIfSame(this, GUARD_TIME, () -> {
			if (!answered[0]) {
				answered[0] = true;
				handle(new FlightAnswered(ask.request(), guardUnreachable(ask.request())));
			}
		});
	}

	private FlightPermit guardUnreachable(RequestId request) {
		long first = this.unguarded.computeIfAbsent(request, (key) -> this.world.now());
		if (this.world.now() - first < GUARD.flightTime().toNanos()) {
			return FlightPermit.WAIT;
		}
		this.unguarded.remove(request);
		return FlightPermit.GO;
	}

	private EntryNode guardOf(Fingerprint fingerprint) {
		List<EntryNode> entries = this.world.entries();
		return entries.get(Math.floorMod(fingerprint.bodyDigest().hashCode(), entries.size()));
	}

	private void probe(BackendServerId server, Incarnation life) {
		SidecarNode sidecar = this.world.sidecar(server.value());
		boolean[] answered = new boolean[1];
		EntryLink former = link();
		this.silent.remove(server.value());
		this.world.send(this, sidecar, () -> {
			sidecar.receive(new LinkLost(former));
			boolean same = sidecar.incarnation().equals(life);
			this.world.send(sidecar, this, () -> {
				if (!answered[0]) {
					answered[0] = true;
					reconnected(server, life, same);
				}
			});
		});
		this.world.afterIfSame(this, PROBE_TIME, () -> {
			if (!answered[0]) {
				answered[0] = true;
				handle(new SidecarLost(server, life));
			}
		});
	}

	private void reconnected(BackendServerId server, Incarnation life, boolean same) {
		this.connection++;
		if (same) {
			handle(new ConnectionLost(server, life));
			handle(new ConnectionRestored(server, life));
		}
		else {
			handle(new SidecarLost(server, life));
		}
	}

	void notSent(AttemptId attempt) {
		this.world.afterIfSame(this, Duration.ofMillis(1), () -> handle(new StartNotSent(attempt)));
	}

	private void learnVerdicts() {
		this.world.ledger().call(this, LedgerNode::verdicts, (learned) -> this.verdicts = learned);
		this.world.after(VERDICT_TIME, this::learnVerdicts);
	}

	private void setTimer() {
		OptionalLong next = this.tracker.nextTimer();
		if (next.isEmpty() || next.getAsLong() >= this.timerAt) {
			return;
		}
		long at = next.getAsLong();
		this.timerAt = at;
		this.world.afterIfSame(this, Duration.ofNanos(Math.max(0, at - this.world.now())), () -> {
			if (this.timerAt == at) {
				this.timerAt = Long.MAX_VALUE;
				handle(new TimePassed());
			}
		});
	}

	private void reset() {
		this.timerAt = Long.MAX_VALUE;
		this.connection = life() * 1_000_000;
		this.views.clear();
		this.silent.clear();
		this.unguarded.clear();
		this.guard = new SingleFlightGuard(GUARD, this.world.now());
		this.tracker = new RequestTracker(SETTINGS,
				(query) -> (query.attempts() < MAX_ATTEMPTS) ? RetryDecision.after(Duration.ofMillis(5))
						: RetryDecision.stop("attempts"),
				this.world.invariants(), (record) -> this.world.listener().onDecision(record));
	}

	private record SidecarView(AttemptTarget target, boolean draining, long heardAt) {

	}

}
