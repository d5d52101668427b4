package org.comfreywall.control.spread;

import java.time.Duration;
import java.util.Collection;
import java.util.List;

/**
 * Computes the relay tree from the members and sends children their parent candidates.
 */
final class ParentPlanner {

	private static final long REFRESH_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long CONTROL_REPLAN_NANOS = Duration.ofMillis(500).toNanos();

	private static final long RELAY_REPLAN_NANOS = Duration.ofSeconds(5).toNanos();

	private final List<NodeDescriptor> controls;

	private final int fanOut;

	private final long replanNanos;

	private final MemberDirectory directory;

	private final StreamReplica members;

	private final Outbox outbox;

	private RelayTree tree;

	private Version plannedFor = Version.ZERO;

	private long plannedAt;

	private long refreshedAt;

	ParentPlanner(NodeRole role, List<NodeDescriptor> controls, SpreadSettings settings, MemberDirectory directory,
			StreamReplica members, Outbox outbox) {
		this.controls = controls;
		this.fanOut = settings.fanOut();
		this.replanNanos = (role == NodeRole.CONTROL) ? CONTROL_REPLAN_NANOS : RELAY_REPLAN_NANOS;
		this.directory = directory;
		this.members = members;
		this.outbox = outbox;
	}

	ParentList parentsOf(NodeDescriptor node, long now) {
		return tree(now).parentsOf(node);
	}

	void refresh(Collection<Child> children, long now) {
		if (!children.isEmpty() && now - this.refreshedAt >= REFRESH_INTERVAL_NANOS) {
			this.refreshedAt = now;
			children.forEach((child) -> send(child, now));
		}
	}

	void send(Child child, long now) {
		if (child.node().role() == NodeRole.CONTROL) {
			return;
		}
		ParentList parents = parentsOf(child.node(), now).withAdopted(true);
		if (!parents.equals(child.sentParents())) {
			child.setSentParents(parents);
			this.outbox.send(child.peer(), parents);
		}
	}

	private RelayTree tree(long now) {
		boolean outdated = !this.plannedFor.equals(this.members.version());
		if (this.tree == null || (outdated && now - this.plannedAt >= this.replanNanos)) {
			this.tree = RelayTree.of(this.directory.activeNodes(this.members.entries()), this.controls, this.fanOut);
			this.plannedAt = now;
			this.plannedFor = this.members.version();
		}
		return this.tree;
	}

}
