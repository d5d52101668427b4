package org.comfreywall.bench.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.member.ControlNode;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.RelayTreeNode;

/**
 * A converged fleet of a given size in seven regions and twenty failure domains. One node
 * in five is an entry, the others are sidecars.
 */
final class SizedFleet {

	private static final int REGIONS = 7;

	private static final int DOMAINS = 20;

	private static final int NODES_PER_ENTRY = 5;

	private static final int CHANGE_BYTES = 1_000;

	private static final Duration START_INTERVAL = Duration.ofSeconds(1);

	private static final int STARTS_PER_INTERVAL = 300;

	private static final Duration SETTLE_TIME = Duration.ofSeconds(25);

	private final Fleet fleet;

	private final Random random;

	private final List<InstanceId> controls = new ArrayList<>();

	private final List<InstanceId> nodes = new ArrayList<>();

	private SizedFleet(long seed) {
		this.random = new Random(seed);
		this.fleet = new Fleet(this.random.nextLong(), new RegionalNetwork(this.random.nextLong()), FleetListener.NONE);
	}

	static SizedFleet startConverged(int size, long seed) {
		SizedFleet sized = new SizedFleet(seed);
		for (int i = 0; i < REGIONS; i++) {
			sized.controls.add(sized.add("control-" + i, NodeRole.CONTROL, i));
		}
		for (int i = 0; i < size; i++) {
			boolean entry = (i / DOMAINS) % NODES_PER_ENTRY == 0;
			sized.nodes.add(sized.add("node-" + i, entry ? NodeRole.ENTRY : NodeRole.SIDECAR, i % DOMAINS));
		}
		sized.controls.forEach(sized.fleet::start);
		sized.fleet.elect(sized.controls.get(0), sized.controls);
		sized.acceptChange();
		for (int i = 0; i < size; i++) {
			sized.fleet.start(sized.nodes.get(i));
			if (i % STARTS_PER_INTERVAL == 0) {
				sized.fleet.run(START_INTERVAL);
			}
		}
		sized.fleet.run(SETTLE_TIME);
		return sized;
	}

	Fleet fleet() {
		return this.fleet;
	}

	List<InstanceId> nodes() {
		return this.nodes;
	}

	Random random() {
		return this.random;
	}

	void acceptChange() {
		byte[] value = new byte[CHANGE_BYTES];
		this.random.nextBytes(value);
		this.fleet.accept(List.of(EntryChange.set("key-" + this.random.nextInt(500), Bytes.of(value))), this.controls);
	}

	long countUpToDate() {
		return this.fleet.nodes()
			.stream()
			.filter((node) -> node.isAlive() && node.inForce().equals(this.fleet.lastAccepted()))
			.count();
	}

	long countLive() {
		return this.fleet.nodes().stream().filter(FleetNode::isAlive).count();
	}

	/**
	 * Returns when the last live node put its revision in force.
	 * @return the virtual time in nanoseconds
	 */
	long lastInForceAt() {
		return this.fleet.nodes().stream().filter(FleetNode::isAlive).mapToLong(FleetNode::inForceAt).max().orElse(0);
	}

	static RelayTreeNode spreadNode(FleetNode node) {
		return (node.core() instanceof ControlNode control) ? control.relayTreeNode() : (RelayTreeNode) node.core();
	}

	private InstanceId add(String id, NodeRole role, int domain) {
		this.fleet.add(new NodeDescriptor(InstanceId.of(id), Incarnation.ZERO, role, "region-" + domain % REGIONS,
				FailureDomainId.of("domain-" + domain), id + ".example:7000"));
		return InstanceId.of(id);
	}

}
