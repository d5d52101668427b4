package org.comfreywall.bench.life;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Term;
import org.comfreywall.group.life.EngineActivity;
import org.comfreywall.group.life.GroupCommand;
import org.comfreywall.group.life.GroupEvent;
import org.comfreywall.group.life.GroupLifecycle;
import org.comfreywall.group.life.GroupState;
import org.comfreywall.group.life.GroupTick;
import org.comfreywall.group.life.HeartbeatReceived;
import org.comfreywall.group.life.LifecycleSettings;
import org.comfreywall.group.life.MemberAnnounced;
import org.comfreywall.group.life.MembershipDurable;
import org.comfreywall.group.life.ProbeAnswered;
import org.comfreywall.group.life.ProbeFailed;
import org.comfreywall.group.life.ProbeMember;
import org.comfreywall.group.life.ReleaseMember;
import org.comfreywall.group.life.RequestAssignment;
import org.comfreywall.group.mapswitch.AssignMember;
import org.comfreywall.group.mapswitch.DecisionLedger;
import org.comfreywall.group.mapswitch.LedgerState;
import org.comfreywall.group.mapswitch.Member;
import org.comfreywall.group.mapswitch.OpenTerm;

/**
 * Simulates one group tick by tick in virtual time: its backend servers, its decision
 * ledger and its lifecycle core.
 */
final class GroupSimulation {

	static final long TICK_NANOS = 10_000_000;

	private static final long HEARTBEAT_TICKS = 5;

	private static final long STEP_TICKS = 3;

	private static final Term TERM = Term.of(1);

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::sequence));

	private final List<String> violations = new ArrayList<>();

	private final LifecycleSettings settings;

	private final RandomGenerator random;

	private final int ranks;

	private final List<SimulatedServer> members;

	private final DecisionLedger ledger;

	private final GroupLifecycle lifecycle;

	private long maxMessageDelayNanos = TICK_NANOS;

	private long now;

	private long tick;

	private long lastSequence;

	private long step;

	private long replacements;

	GroupSimulation(int ranks, int servers, LifecycleSettings settings, RandomGenerator random) {
		this.ranks = ranks;
		this.settings = settings;
		this.random = random;
		this.members = IntStream.range(0, servers).mapToObj((i) -> new SimulatedServer("server-" + i)).toList();
		this.ledger = new DecisionLedger(ranks, LedgerState.EMPTY);
		this.ledger.apply(new OpenTerm(TERM));
		this.lifecycle = new GroupLifecycle("group", ranks, settings, DecisionListener.NONE);
	}

	long now() {
		return this.now;
	}

	long step() {
		return this.step;
	}

	long replacements() {
		return this.replacements;
	}

	GroupState state() {
		return this.lifecycle.state();
	}

	List<String> violations() {
		return this.violations;
	}

	SimulatedServer randomServer() {
		return this.members.get(this.random.nextInt(this.members.size()));
	}

	void maxMessageDelay(long nanos) {
		this.maxMessageDelayNanos = nanos;
	}

	void runTick() {
		this.tick++;
		this.now += TICK_NANOS;
		while (!this.deliveries.isEmpty() && this.deliveries.peek().at() <= this.now) {
			handle(this.deliveries.remove().event());
		}
		advanceStep();
		if (this.tick % HEARTBEAT_TICKS == 0) {
			this.members.forEach(this::report);
		}
		handle(new GroupTick());
	}

	private void advanceStep() {
		if (this.tick % STEP_TICKS == 0 && countBlockedMembers() == 0
				&& this.ledger.state().members().size() == this.ranks) {
			this.step++;
		}
	}

	private long countBlockedMembers() {
		return this.ledger.state().members().values().stream().filter((member) -> !isComputing(member)).count();
	}

	private boolean isComputing(Member member) {
		return findServer(member).filter((server) -> !server.isDown(this.now) && !server.isStalled(this.now))
			.isPresent();
	}

	private Optional<SimulatedServer> findServer(Member member) {
		return this.members.stream().filter((server) -> server.matches(member)).findFirst();
	}

	private void report(SimulatedServer server) {
		if (server.isDown(this.now) || server.losesReports(this.now)) {
			return;
		}
		if (this.ledger.state().members().containsValue(server.member())) {
			boolean waitsForPeers = countBlockedMembers() > 0 && !server.isStalled(this.now);
			EngineActivity activity = waitsForPeers ? EngineActivity.WAITING_FOR_PEERS : EngineActivity.COMPUTING;
			server.recordReport(this.now, this.step, activity);
			send(new HeartbeatReceived(server.member(), this.step, activity));
		}
		else {
			send(new MemberAnnounced(server.member()));
		}
	}

	private void send(GroupEvent event) {
		this.lastSequence++;
		this.deliveries
			.add(new Delivery(this.now + this.random.nextLong(this.maxMessageDelayNanos), this.lastSequence, event));
	}

	private void handle(GroupEvent event) {
		this.lifecycle.handle(event, this.now).forEach(this::execute);
	}

	private void execute(GroupCommand command) {
		if (command instanceof RequestAssignment request) {
			assign(request);
		}
		else if (command instanceof ProbeMember probe) {
			boolean alive = findServer(probe.member()).filter((server) -> !server.isDown(this.now)).isPresent();
			send(alive ? new ProbeAnswered(probe.member()) : new ProbeFailed(probe.member()));
		}
		else if (command instanceof ReleaseMember release) {
			findServer(release.member()).ifPresent(SimulatedServer::restart);
		}
	}

	private void assign(RequestAssignment request) {
		Member replaced = this.ledger.state().members().get(request.rank());
		if (replaced != null && !replaced.equals(request.member())) {
			this.replacements++;
			checkReplacement(replaced, request);
		}
		LedgerState state = this.ledger.apply(new AssignMember(TERM, request.rank(), request.member())).state();
		checkDistinctServers(state);
		send(new MembershipDurable(state));
	}

	private void checkReplacement(Member replaced, RequestAssignment request) {
		Optional<SimulatedServer> server = findServer(replaced).filter((found) -> !found.isDown(this.now));
		boolean stalled = server.filter(this::stalledLongEnough).isPresent();
		if (server.isPresent() && !stalled) {
			this.violations.add(replaced + " was replaced by " + request.member()
					+ " although it was running, at nanosecond " + this.now);
		}
	}

	// A replacement is justified if the stall lasted for the configured time, less the
	// longest message delay, and a report of the recovery may still be in flight.
	private boolean stalledLongEnough(SimulatedServer server) {
		return server.stallLength(this.now) >= this.settings.replaceNanos() - this.maxMessageDelayNanos
				&& !server.reportedRecoveryBy(this.now - this.maxMessageDelayNanos);
	}

	private void checkDistinctServers(LedgerState state) {
		Set<BackendServerId> servers = new HashSet<>();
		state.members().values().forEach((member) -> {
			if (!servers.add(member.server())) {
				this.violations.add(member.server() + " is assigned to two ranks");
			}
		});
	}

	private record Delivery(long at, long sequence, GroupEvent event) {

	}

}
