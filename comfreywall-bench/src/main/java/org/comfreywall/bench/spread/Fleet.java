package org.comfreywall.bench.spread;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.control.member.ControlNode;
import org.comfreywall.control.member.MemberEntries;
import org.comfreywall.control.member.MembershipSettings;
import org.comfreywall.control.spread.Delta;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.Floor;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.RelayTreeCodec;
import org.comfreywall.control.spread.RelayTreeCommand;
import org.comfreywall.control.spread.RelayTreeCore;
import org.comfreywall.control.spread.RelayTreeEvent;
import org.comfreywall.control.spread.RelayTreeMessage;
import org.comfreywall.control.spread.RelayTreeNode;
import org.comfreywall.control.spread.RelayTreeSettings;
import org.comfreywall.control.spread.Version;

/**
 * Runs the production cores of many nodes in virtual time. A list of accepted revisions
 * stands in for the replicated log.
 */
final class Fleet {

	private static final long FOLLOWER_DELAY_NANOS = Duration.ofMillis(100).toNanos();

	private static final long READ_DELAY_NANOS = Duration.ofMillis(150).toNanos();

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private final VirtualTime time = new VirtualTime();

	private final Map<InstanceId, FleetNode> nodes = new LinkedHashMap<>();

	private final List<NodeDescriptor> controls = new ArrayList<>();

	private final List<Delta> accepted = new ArrayList<>();

	private final RelayTreeSettings settings = RelayTreeSettings.DEFAULTS;

	private final Random random;

	private final Network network;

	private final FleetListener listener;

	private DecisionListener decisionListener = DecisionListener.NONE;

	private MembershipSettings membershipSettings = MembershipSettings.DEFAULTS;

	private boolean measured;

	private boolean keepsViews;

	private Term term = Term.ZERO;

	private Optional<InstanceId> leader = Optional.empty();

	private FencingNumber lastOrderNumber = FencingNumber.ZERO;

	Fleet(long seed, Network network, FleetListener listener) {
		this.random = new Random(seed);
		this.network = network;
		this.listener = listener;
	}

	void decisionListener(DecisionListener decisions) {
		this.decisionListener = decisions;
	}

	void membershipSettings(MembershipSettings other) {
		this.membershipSettings = other;
	}

	/**
	 * Sets whether each message is encoded and decoded and its bytes and processor time
	 * are counted.
	 * @param measured {@code true} to measure
	 */
	void measured(boolean measured) {
		this.measured = measured;
	}

	/**
	 * Maintains a decoded view of the members for each node that receives member updates.
	 */
	void keepMemberViews() {
		this.keepsViews = true;
	}

	VirtualTime time() {
		return this.time;
	}

	Collection<FleetNode> nodes() {
		return this.nodes.values();
	}

	FleetNode node(InstanceId id) {
		return this.nodes.get(id);
	}

	List<NodeDescriptor> controls() {
		return this.controls;
	}

	Optional<InstanceId> leader() {
		return this.leader;
	}

	Term term() {
		return this.term;
	}

	Version lastAccepted() {
		return this.accepted.isEmpty() ? Version.ZERO : this.accepted.get(this.accepted.size() - 1).to();
	}

	List<Delta> accepted() {
		return this.accepted;
	}

	void lastOrderNumber(FencingNumber number) {
		this.lastOrderNumber = number;
	}

	void add(NodeDescriptor descriptor) {
		this.nodes.put(descriptor.id(), new FleetNode(descriptor));
		if (descriptor.role() == NodeRole.CONTROL) {
			this.controls.add(descriptor);
		}
	}

	void start(InstanceId id) {
		FleetNode node = this.nodes.get(id);
		NodeDescriptor before = node.descriptor();
		NodeDescriptor restarted = new NodeDescriptor(id, Incarnation.of(before.incarnation().value() + 1),
				before.role(), before.region(), before.domain(), before.address());
		RelayTreeCore core = (restarted.role() == NodeRole.CONTROL)
				? new ControlNode(restarted, this.controls, this.settings, this.membershipSettings, this.random,
						this.decisionListener)
				: new RelayTreeNode(restarted, this.controls, this.settings, MemberEntries::decodeActiveNodes,
						this.random, this.decisionListener);
		node.start(restarted, core);
		if (restarted.role() == NodeRole.CONTROL) {
			List<Delta> onDisk = this.accepted.subList(0, node.storedRevisions());
			onDisk.forEach((delta) -> handle(node, new RelayTreeEvent.ConfigurationCommitted(delta)));
		}
		long phase = (long) (this.random.nextDouble() * this.settings.tickInterval().toNanos());
		this.time.after(phase, () -> tick(node, core));
	}

	/**
	 * Crashes a node. A leader that crashes does not lead the same term after a restart.
	 * @param id the node
	 */
	void crash(InstanceId id) {
		this.nodes.get(id).crash();
		this.leader = this.leader.filter((control) -> !control.equals(id));
	}

	/**
	 * Makes a control instance the leader of a new term.
	 * @param id the instance
	 * @param receivers the control instances that receive the change of leader
	 */
	void elect(InstanceId id, Collection<InstanceId> receivers) {
		this.term = this.term.next();
		this.leader = Optional.of(id);
		Term elected = this.term;
		receivers.forEach((control) -> handle(this.nodes.get(control),
				new RelayTreeEvent.LeaderChanged(elected, Optional.of(id))));
	}

	void accept(List<EntryChange> changes, Collection<InstanceId> receivers) {
		Version held = lastAccepted();
		Delta delta = new Delta(held, new Version(this.term, held.number() + 1), changes);
		this.accepted.add(delta);
		int count = this.accepted.size();
		for (InstanceId id : receivers) {
			long delay = this.leader.filter(id::equals).isPresent() ? 0 : FOLLOWER_DELAY_NANOS;
			FleetNode node = this.nodes.get(id);
			RelayTreeCore core = node.core();
			this.time.after(delay, () -> commitIfNext(node, core, delta, count));
		}
	}

	/**
	 * Delivers to a control instance all accepted revisions that it has missed, and the
	 * current leader.
	 * @param id the instance
	 */
	void catchUp(InstanceId id) {
		FleetNode node = this.nodes.get(id);
		List<Delta> missed = List.copyOf(this.accepted.subList(node.storedRevisions(), this.accepted.size()));
		node.storedRevisions(this.accepted.size());
		missed.forEach((delta) -> handle(node, new RelayTreeEvent.ConfigurationCommitted(delta)));
		handle(node, new RelayTreeEvent.LeaderChanged(this.term, this.leader));
	}

	void handle(FleetNode node, RelayTreeEvent event) {
		if (!node.isAlive()) {
			return;
		}
		long before = this.measured ? THREADS.getCurrentThreadCpuTime() : 0;
		List<RelayTreeCommand> commands = node.core().on(event, this.time.now());
		if (this.measured) {
			node.traffic().recordCpuTime(THREADS.getCurrentThreadCpuTime() - before);
		}
		commands.forEach((command) -> execute(node, command));
	}

	void run(Duration duration) {
		this.time.runUntil(this.time.now() + duration.toNanos());
	}

	private void tick(FleetNode node, RelayTreeCore core) {
		if (node.isAlive() && node.core() == core) {
			handle(node, new RelayTreeEvent.Tick());
			this.time.after(this.settings.tickInterval().toNanos(), () -> tick(node, core));
		}
	}

	private void commitIfNext(FleetNode node, RelayTreeCore core, Delta delta, int count) {
		if (node.isAlive() && node.core() == core && node.storedRevisions() == count - 1) {
			node.storedRevisions(count);
			handle(node, new RelayTreeEvent.ConfigurationCommitted(delta));
		}
	}

	private void handleUnlessRestarted(FleetNode node, RelayTreeCore core, RelayTreeEvent event) {
		if (node.core() == core) {
			handle(node, event);
		}
	}

	private void execute(FleetNode node, RelayTreeCommand command) {
		if (command instanceof RelayTreeCommand.Send send) {
			send(node, send.to(), send.message());
			return;
		}
		this.listener.onCommand(node, command);
		if (command instanceof RelayTreeCommand.ReadFloor read) {
			readFloor(node, read.token());
		}
		else if (command instanceof RelayTreeCommand.ActivateConfiguration configuration) {
			node.inForce(configuration.version(), this.time.now());
		}
		else if (command instanceof RelayTreeCommand.ApplyMemberChanges members && this.keepsViews) {
			node.view().apply(members.changes(), members.replaceAll());
		}
	}

	private void readFloor(FleetNode node, long token) {
		RelayTreeCore core = node.core();
		boolean connected = this.leader.isPresent() && this.nodes.get(this.leader.get()).isAlive()
				&& isConnected(node.descriptor(), this.nodes.get(this.leader.get()).descriptor());
		if (connected) {
			Floor floor = new Floor(lastAccepted(), this.lastOrderNumber);
			this.time.after(READ_DELAY_NANOS,
					() -> handleUnlessRestarted(node, core, new RelayTreeEvent.FloorRead(token, floor)));
		}
	}

	private boolean isConnected(NodeDescriptor one, NodeDescriptor other) {
		return one.id().equals(other.id())
				|| (this.network.delay(one, other).isPresent() && this.network.delay(other, one).isPresent());
	}

	private void send(FleetNode from, Peer to, RelayTreeMessage message) {
		FleetNode target = this.nodes.get(to.id());
		if (target == null) {
			return;
		}
		NodeDescriptor sender = from.descriptor();
		this.listener.onSent(sender, target.descriptor(), message);
		byte[] encoded = this.measured ? encode(from, message) : null;
		OptionalLong delay = this.network.delay(sender, target.descriptor());
		delay.ifPresent((nanos) -> this.time.after(nanos, () -> deliver(sender, target, message, encoded)));
		if (delay.isPresent() && this.network.duplicates()) {
			long late = delay.getAsLong() + (long) (this.random.nextDouble() * Duration.ofSeconds(2).toNanos());
			this.time.after(late, () -> deliver(sender, target, message, encoded));
		}
	}

	private byte[] encode(FleetNode from, RelayTreeMessage message) {
		long before = THREADS.getCurrentThreadCpuTime();
		byte[] encoded = RelayTreeCodec.encode(message);
		from.traffic().recordCpuTime(THREADS.getCurrentThreadCpuTime() - before);
		from.traffic().recordSent(encoded.length);
		return encoded;
	}

	private void deliver(NodeDescriptor sender, FleetNode target, RelayTreeMessage message, byte[] encoded) {
		if (!target.isAlive()) {
			return;
		}
		this.listener.onDelivered(sender, target.descriptor(), message);
		if (encoded != null) {
			long before = THREADS.getCurrentThreadCpuTime();
			RelayTreeCodec.decode(encoded);
			target.traffic().recordCpuTime(THREADS.getCurrentThreadCpuTime() - before);
			target.traffic().recordReceived(encoded.length);
		}
		handle(target, new RelayTreeEvent.MessageReceived(Peer.of(sender), message));
	}

}
