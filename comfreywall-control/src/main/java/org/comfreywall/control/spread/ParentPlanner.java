package org.comfreywall.control.spread;

import java.time.Duration;
import java.util.Collection;
import java.util.List;

/**
 * Plans the relay tree from the members and sends children their parent candidates. The
 * plan is recomputed at most once in an interval, which is longer at relays than at
 * control instances.
 */
final class ParentPlanner {

	private static final long REFRESH_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long CONTROL_REPLAN_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	private static final long RELAY_REPLAN_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

	private final List<NodeDescriptor> controls;

	private final int fanOut;

	private final long replanIntervalNanos;

	private final MemberDecoder memberDecoder;

	private final StreamReplica members;

	private final Outbox outbox;

	private RelayTreePlan plan;

	private Version plannedVersion = Version.ZERO;

	private long plannedAt;

	private long refreshedAt;

	ParentPlanner(NodeRole role, List<NodeDescriptor> controls, RelayTreeSettings settings, MemberDecoder memberDecoder,
			StreamReplica members, Outbox outbox) {
		this.controls = controls;
		this.fanOut = settings.fanOut();
		this.replanIntervalNanos = (role == NodeRole.CONTROL) ? CONTROL_REPLAN_INTERVAL_NANOS
				: RELAY_REPLAN_INTERVAL_NANOS;
		this.memberDecoder = memberDecoder;
		this.members = members;
		this.outbox = outbox;
	}

	ParentCandidates candidatesFor(NodeDescriptor node, long now) {
		return plan(now).candidatesFor(node);
	}

	void refreshCandidates(Collection<Child> children, long now) {
		if (!children.isEmpty() && now - this.refreshedAt >= REFRESH_INTERVAL_NANOS) {
			this.refreshedAt = now;
			children.forEach((child) -> sendCandidates(child, now));
		}
	}

	void sendCandidates(Child child, long now) {
		if (child.node().role() == NodeRole.CONTROL) {
			return;
		}
		ParentCandidates candidates = candidatesFor(child.node(), now).withAccepted(true);
		if (!candidates.equals(child.sentCandidates())) {
			child.setSentCandidates(candidates);
			this.outbox.send(child.peer(), candidates);
		}
	}

	private RelayTreePlan plan(long now) {
		boolean outdated = !this.plannedVersion.equals(this.members.version());
		if (this.plan == null || (outdated && now - this.plannedAt >= this.replanIntervalNanos)) {
			this.plan = RelayTreePlan.of(this.memberDecoder.decodeActiveNodes(this.members.entries()), this.controls,
					this.fanOut);
			this.plannedAt = now;
			this.plannedVersion = this.members.version();
		}
		return this.plan;
	}

}
