package org.comfreywall.bench.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.member.MembershipSettings;
import org.comfreywall.control.spread.Delta;
import org.comfreywall.control.spread.DeltaUpdate;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.RelayTreeCommand;
import org.comfreywall.control.spread.RelayTreeEvent;
import org.comfreywall.control.spread.RelayTreeMessage;
import org.comfreywall.control.spread.RelayTreeNode;
import org.comfreywall.control.spread.StreamId;
import org.comfreywall.control.spread.Version;

/**
 * Alternates between rounds of random faults and fault-free periods, at whose end the
 * fleet must have converged.
 */
final class SpreadRandomRun {

	private static final int CONTROLS = 5;

	private static final int NODES = 40;

	private static final int DOMAINS = 4;

	private static final int ORDER_TARGETS = 6;

	private static final int STEPS_PER_ROUND = 1_000;

	private static final Duration STEP = Duration.ofMillis(30);

	private static final Duration SETTLE_TIME = Duration.ofSeconds(45);

	private static final Duration MAX_LEAVE_TIME = Duration.ofSeconds(2);

	private static final MembershipSettings SHORT_DAMPING = new MembershipSettings(Duration.ofSeconds(5),
			Duration.ofSeconds(12), Duration.ofMillis(2500), Duration.ofSeconds(5), Duration.ofMillis(200),
			Duration.ofMinutes(10), Duration.ofSeconds(2), Duration.ofSeconds(8));

	private final Random random;

	private final FaultyNetwork network;

	private final Violations violations = new Violations();

	private final FleetChecker checker = new FleetChecker(this.violations);

	private final Fleet fleet;

	private final OrderTraffic orders;

	private final List<InstanceId> controls = new ArrayList<>();

	private final List<InstanceId> nodes = new ArrayList<>();

	private final Set<InstanceId> leaving = new HashSet<>();

	private long steps;

	private int orderVersion;

	SpreadRandomRun(long seed) {
		this.random = new Random(seed);
		this.network = new FaultyNetwork(this.random.nextLong());
		this.fleet = new Fleet(this.random.nextLong(), this.network, new Listener());
		this.fleet.keepMemberViews();
		this.fleet.membershipSettings(SHORT_DAMPING);
		this.checker.attachTo(this.fleet);
		this.orders = new OrderTraffic(this.fleet, this.network, this.violations, this.random.nextLong());
	}

	Violations violations() {
		return this.violations;
	}

	Fleet fleet() {
		return this.fleet;
	}

	OrderTraffic orders() {
		return this.orders;
	}

	FleetChecker checker() {
		return this.checker;
	}

	void run(long limit) {
		populate();
		while (this.steps < limit) {
			settleAndCheck();
			runFaultyRound(Math.min(STEPS_PER_ROUND, limit - this.steps));
		}
		settleAndCheck();
	}

	private void populate() {
		for (int i = 0; i < CONTROLS; i++) {
			this.controls.add(add("control-" + i, NodeRole.CONTROL, i % DOMAINS));
		}
		for (int i = 0; i < NODES; i++) {
			this.nodes.add(add("node-" + i, ((i / DOMAINS) % 3 == 0) ? NodeRole.ENTRY : NodeRole.SIDECAR, i % DOMAINS));
		}
		this.controls.forEach(this::start);
		elect();
		this.nodes.forEach(this::start);
	}

	private InstanceId add(String id, NodeRole role, int domain) {
		this.fleet.add(new NodeDescriptor(InstanceId.of(id), Incarnation.ZERO, role, "region-" + domain / 2,
				FailureDomainId.of("domain-" + domain), id + ":7000"));
		return InstanceId.of(id);
	}

	private void start(InstanceId id) {
		this.leaving.remove(id);
		this.checker.recordStart(id);
		if (this.controls.contains(id)) {
			this.orders.startControl(id);
		}
		else {
			this.orders.startSidecar(id);
		}
		this.fleet.start(id);
	}

	private void runFaultyRound(long count) {
		this.checker.faultFree(false);
		if (this.random.nextInt(3) == 0) {
			this.fleet.leader().ifPresent(this.network::blockReceiver);
		}
		for (long i = 0; i < count; i++) {
			this.steps++;
			performRandomAction(this.random.nextInt(100));
			this.orders.tick(pick(this.controls));
			this.fleet.run(STEP);
		}
	}

	private void performRandomAction(int roll) {
		if (roll < 6) {
			accept();
		}
		else if (roll < 9) {
			crashOrStart(pick(this.nodes));
		}
		else if (roll < 10) {
			crashOrStart(pick(this.controls));
		}
		else if (roll < 13) {
			this.network.cut(pick(all()), pick(all()));
		}
		else if (roll < 14) {
			boolean inbound = this.random.nextBoolean();
			this.network.isolate(pick(all()), all(), inbound, !inbound || this.random.nextBoolean());
		}
		else if (roll < 16) {
			this.network.randomiseFaults();
		}
		else if (roll < 20) {
			this.network.restoreSomeLinks();
		}
		else if (roll < 21) {
			electSometimes();
		}
		else if (roll < 23) {
			catchUpIfConnected(pick(this.controls));
		}
		else if (roll < 25) {
			leave(pick(this.nodes));
		}
		else if (roll < 29) {
			sendStaleRevision(pick(this.nodes));
		}
		else if (roll < 39) {
			this.orders.requestOrder(pick(this.controls), pick(orderTargets()), this.orderVersion++);
		}
		else if (roll < 43) {
			restart(pick(orderTargets()));
		}
	}

	private List<InstanceId> all() {
		List<InstanceId> all = new ArrayList<>(this.controls);
		all.addAll(this.nodes);
		return all;
	}

	private <T> T pick(List<T> list) {
		return list.get(this.random.nextInt(list.size()));
	}

	private void crashOrStart(InstanceId id) {
		if (!this.fleet.node(id).isAlive()) {
			start(id);
		}
		else if (!this.controls.contains(id) || deadControls() < CONTROLS / 2) {
			this.fleet.crash(id);
		}
	}

	private void restart(InstanceId id) {
		this.fleet.crash(id);
		start(id);
	}

	/**
	 * Returns the nodes whose engines receive orders.
	 * @return the nodes
	 */
	private List<InstanceId> orderTargets() {
		return this.nodes.subList(0, ORDER_TARGETS);
	}

	private long deadControls() {
		return this.controls.stream().filter((id) -> !this.fleet.node(id).isAlive()).count();
	}

	private List<InstanceId> connected(InstanceId control) {
		return this.controls.stream()
			.filter((id) -> this.fleet.node(id).isAlive())
			.filter((id) -> id.equals(control) || this.network.connects(control, id))
			.toList();
	}

	private boolean hasQuorum(InstanceId control) {
		return this.fleet.node(control).isAlive() && connected(control).size() > CONTROLS / 2;
	}

	private void accept() {
		Optional<InstanceId> leader = this.fleet.leader().filter(this::hasQuorum);
		if (leader.isPresent() && this.fleet.node(leader.get()).storedRevisions() == this.fleet.accepted().size()) {
			EntryChange change = EntryChange.set("key-" + this.random.nextInt(50),
					Bytes.ofText(Long.toString(this.steps)));
			this.fleet.accept(List.of(change), connected(leader.get()));
		}
	}

	private void electSometimes() {
		if (this.random.nextInt(8) == 0) {
			elect();
		}
	}

	private void elect() {
		List<InstanceId> candidates = this.controls.stream().filter(this::hasQuorum).toList();
		if (candidates.isEmpty()) {
			return;
		}
		InstanceId winner = pick(candidates);
		this.fleet.catchUp(winner);
		List<InstanceId> receivers = connected(winner).stream()
			.filter((id) -> id.equals(winner) || this.random.nextInt(4) > 0)
			.toList();
		this.fleet.elect(winner, receivers);
		this.orders.gainLeadership(winner, this.fleet.term());
	}

	private void catchUpIfConnected(InstanceId control) {
		Optional<InstanceId> leader = this.fleet.leader();
		if (leader.isPresent() && this.network.connects(control, leader.get())) {
			this.fleet.catchUp(control);
		}
	}

	private void leave(InstanceId id) {
		FleetNode node = this.fleet.node(id);
		if (node.isAlive() && this.leaving.add(id)) {
			this.checker.recordLeaveRequest(node.descriptor());
			this.fleet.handle(node, new RelayTreeEvent.LeaveRequested());
		}
	}

	/**
	 * Sends a node a next revision that was never accepted, as a leader of an older term
	 * may do. The node must not put it in force.
	 * @param id the node
	 */
	private void sendStaleRevision(InstanceId id) {
		FleetNode node = this.fleet.node(id);
		RelayTreeNode core = (RelayTreeNode) node.core();
		Version held = node.inForce();
		Term stale = Term.of(Math.max(held.term().value(), core.term().value() - 1));
		if (node.isAlive() && stale.isBefore(core.term())) {
			Delta delta = new Delta(held, new Version(stale, held.number() + 1), List.of());
			Peer sender = Peer.of(this.fleet.node(pick(this.controls)).descriptor());
			this.fleet.handle(node, new RelayTreeEvent.MessageReceived(sender,
					new DeltaUpdate(StreamId.CONFIGURATION, stale, List.of(delta))));
		}
	}

	private void settleAndCheck() {
		this.network.heal();
		all().stream().filter((id) -> !this.fleet.node(id).isAlive()).forEach(this::start);
		if (!this.fleet.leader().filter(this::hasQuorum).isPresent()) {
			elect();
		}
		this.controls.forEach(this.fleet::catchUp);
		this.fleet.run(SETTLE_TIME);
		this.checker.faultFree(true);
		checkConverged();
		checkLeave();
	}

	private void checkConverged() {
		for (FleetNode node : this.fleet.nodes()) {
			this.violations.check(node.inForce().equals(this.fleet.lastAccepted()), "not-converged",
					"%s holds %s, not %s, at step %d", node.id(), node.inForce(), this.fleet.lastAccepted(),
					this.steps);
			if (node.descriptor().role() == NodeRole.ENTRY) {
				checkView(node);
			}
		}
	}

	private void checkView(FleetNode entry) {
		for (InstanceId id : this.nodes) {
			boolean expected = !this.leaving.contains(id);
			this.violations.check(entry.view().isRoutable(id) == expected, "wrong-view",
					"%s sees %s routable=%s at step %d", entry.id(), id, !expected, this.steps);
		}
	}

	private void checkLeave() {
		List<InstanceId> leavers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			leavers.add(pick(this.nodes));
		}
		leavers.forEach(this::leave);
		this.fleet.run(MAX_LEAVE_TIME);
		for (FleetNode node : this.fleet.nodes()) {
			boolean entry = node.descriptor().role() == NodeRole.ENTRY;
			for (InstanceId id : leavers) {
				this.violations.check(!entry || !node.view().isRoutable(id), "work-after-leave",
						"%s still routes to %s at step %d", node.id(), id, this.steps);
			}
		}
	}

	private final class Listener implements FleetListener {

		@Override
		public void onCommand(FleetNode node, RelayTreeCommand command) {
			if (command instanceof RelayTreeCommand.ApplyFloor confirmed) {
				SpreadRandomRun.this.orders.raiseFloor(node.id(), confirmed.floor().orders());
			}
			SpreadRandomRun.this.checker.onCommand(node, command);
		}

		@Override
		public void onSent(NodeDescriptor from, NodeDescriptor to, RelayTreeMessage message) {
			SpreadRandomRun.this.checker.onSent(from, to, message);
		}

		@Override
		public void onDelivered(NodeDescriptor from, NodeDescriptor to, RelayTreeMessage message) {
			SpreadRandomRun.this.checker.onDelivered(from, to, message);
		}

	}

}
