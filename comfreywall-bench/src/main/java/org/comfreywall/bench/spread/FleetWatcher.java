package org.comfreywall.bench.spread;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.member.MemberRecord;
import org.comfreywall.control.member.MemberState;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.Ping;
import org.comfreywall.control.spread.ProbeResult;
import org.comfreywall.control.spread.SpreadCommand;
import org.comfreywall.control.spread.SpreadMessage;
import org.comfreywall.control.spread.Version;

/**
 * Checks a fleet from outside the cores, over all lives of its nodes.
 */
final class FleetWatcher implements FleetListener {

	private static final long OPINION_NANOS = Duration.ofSeconds(15).toNanos();

	private final Violations violations;

	private final Map<InstanceId, Long> highest = new HashMap<>();

	private final Map<InstanceId, Map<InstanceId, Long>> opinions = new HashMap<>();

	private final Set<NodeDescriptor> left = new HashSet<>();

	private final Map<InstanceId, Set<NodeDescriptor>> seenLeaving = new HashMap<>();

	private Fleet fleet;

	private boolean calm;

	private long failures;

	FleetWatcher(Violations violations) {
		this.violations = violations;
	}

	void watch(Fleet watched) {
		this.fleet = watched;
		watched.decisions(this::onDecision);
	}

	void calm(boolean settled) {
		this.calm = settled;
	}

	long failures() {
		return this.failures;
	}

	void leaveRequested(NodeDescriptor life) {
		this.left.add(life);
	}

	void started(InstanceId id) {
		this.seenLeaving.remove(id);
	}

	@Override
	public void onCommand(FleetNode node, SpreadCommand command) {
		if (command instanceof SpreadCommand.ConfigurationInForce configuration) {
			inForce(node.id(), configuration.version());
		}
		else if (command instanceof SpreadCommand.MembersUpdated) {
			membersInForce(node);
		}
	}

	@Override
	public void onSent(NodeDescriptor from, NodeDescriptor to, SpreadMessage message) {
		if (message instanceof Ping && from.role() == NodeRole.CONTROL) {
			noteOpinion(to.id(), from.id());
		}
	}

	@Override
	public void onDelivered(NodeDescriptor from, NodeDescriptor to, SpreadMessage message) {
		if (message instanceof ProbeResult result && !result.reachable()) {
			noteOpinion(result.target(), from.id());
		}
	}

	private void noteOpinion(InstanceId target, InstanceId prober) {
		this.opinions.computeIfAbsent(target, (id) -> new HashMap<>()).put(prober, this.fleet.time().now());
	}

	private void inForce(InstanceId id, Version version) {
		long before = this.highest.getOrDefault(id, 0L);
		this.violations.check(version.number() >= before, "revision-back", "%s went from %d to %s", id, before,
				version);
		this.highest.put(id, Math.max(before, version.number()));
		int index = (int) version.number() - 1;
		boolean accepted = index < 0
				|| (index < this.fleet.accepted().size() && this.fleet.accepted().get(index).to().equals(version));
		this.violations.check(accepted, "never-accepted", "%s put %s in force", id, version);
	}

	private void membersInForce(FleetNode node) {
		Set<NodeDescriptor> seen = this.seenLeaving.computeIfAbsent(node.id(), (id) -> new HashSet<>());
		for (NodeDescriptor life : this.left) {
			MemberRecord record = node.view().find(life.id()).orElse(null);
			if (record == null || !record.node().equals(life)) {
				continue;
			}
			boolean active = node.view().isRoutable(life.id());
			this.violations.check(!active || !seen.contains(life), "leave-undone", "%s routes to %s again", node.id(),
					life.id());
			if (record.state() == MemberState.LEAVING) {
				seen.add(life);
			}
		}
	}

	private void onDecision(DecisionRecord decision) {
		boolean domain = decision.result().equals("domain-failed");
		if (!domain && !decision.result().equals("failed")) {
			return;
		}
		this.failures++;
		if (domain) {
			this.violations.check(!this.calm, "live-domain-failed", "%s in calm", decision.subject());
			return;
		}
		FleetNode node = this.fleet.node(InstanceId.of(decision.subject()));
		boolean live = node.isAlive() && decision.inputs()
			.stream()
			.anyMatch((field) -> field.key().equals("incarnation")
					&& field.value().equals(node.descriptor().incarnation().toString()));
		if (live) {
			this.violations.check(!this.calm, "live-member-failed", "%s in calm", node.id());
			this.violations.check(opinions(node.id()) >= 2, "judged-on-one-word", "%s", node.id());
		}
	}

	private long opinions(InstanceId id) {
		long since = this.fleet.time().now() - OPINION_NANOS;
		return this.opinions.getOrDefault(id, Map.of()).values().stream().filter((at) -> at >= since).count();
	}

}
