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
import org.comfreywall.control.spread.RelayTreeCommand;
import org.comfreywall.control.spread.RelayTreeMessage;
import org.comfreywall.control.spread.Version;

/**
 * Checks the safety of a fleet from the commands and messages of its nodes, across all
 * their incarnations.
 */
final class FleetChecker implements FleetListener {

	private static final long PROBE_WINDOW_NANOS = Duration.ofSeconds(15).toNanos();

	private final Violations violations;

	private final Map<InstanceId, Long> highestVersions = new HashMap<>();

	private final Map<InstanceId, Map<InstanceId, Long>> probes = new HashMap<>();

	private final Set<NodeDescriptor> leaveRequests = new HashSet<>();

	private final Map<InstanceId, Set<NodeDescriptor>> seenLeaving = new HashMap<>();

	private Fleet fleet;

	private boolean faultFree;

	private long detectedFailures;

	FleetChecker(Violations violations) {
		this.violations = violations;
	}

	void attachTo(Fleet watched) {
		this.fleet = watched;
		watched.decisionListener(this::onDecision);
	}

	void faultFree(boolean faultFree) {
		this.faultFree = faultFree;
	}

	long detectedFailures() {
		return this.detectedFailures;
	}

	void recordLeaveRequest(NodeDescriptor leaver) {
		this.leaveRequests.add(leaver);
	}

	void recordStart(InstanceId id) {
		this.seenLeaving.remove(id);
	}

	@Override
	public void onCommand(FleetNode node, RelayTreeCommand command) {
		if (command instanceof RelayTreeCommand.ActivateConfiguration configuration) {
			checkInForce(node.id(), configuration.version());
		}
		else if (command instanceof RelayTreeCommand.ApplyMemberChanges) {
			checkLeaversNotRoutable(node);
		}
	}

	@Override
	public void onSent(NodeDescriptor from, NodeDescriptor to, RelayTreeMessage message) {
		if (message instanceof Ping && from.role() == NodeRole.CONTROL) {
			recordProbe(to.id(), from.id());
		}
	}

	@Override
	public void onDelivered(NodeDescriptor from, NodeDescriptor to, RelayTreeMessage message) {
		if (message instanceof ProbeResult result && !result.reachable()) {
			recordProbe(result.target(), from.id());
		}
	}

	private void recordProbe(InstanceId target, InstanceId prober) {
		this.probes.computeIfAbsent(target, (id) -> new HashMap<>()).put(prober, this.fleet.time().now());
	}

	private void checkInForce(InstanceId id, Version version) {
		long before = this.highestVersions.getOrDefault(id, 0L);
		this.violations.check(version.number() >= before, "revision-back", "%s went back from version %d to %s", id,
				before, version);
		this.highestVersions.put(id, Math.max(before, version.number()));
		int index = (int) version.number() - 1;
		boolean accepted = index < 0
				|| (index < this.fleet.accepted().size() && this.fleet.accepted().get(index).to().equals(version));
		this.violations.check(accepted, "never-accepted", "%s put %s in force", id, version);
	}

	private void checkLeaversNotRoutable(FleetNode node) {
		Set<NodeDescriptor> leavingNodes = this.seenLeaving.computeIfAbsent(node.id(), (id) -> new HashSet<>());
		for (NodeDescriptor leaver : this.leaveRequests) {
			MemberRecord record = node.view().find(leaver.id()).orElse(null);
			if (record == null || !record.node().equals(leaver)) {
				continue;
			}
			boolean active = node.view().isRoutable(leaver.id());
			this.violations.check(!active || !leavingNodes.contains(leaver), "leave-undone", "%s routes to %s again",
					node.id(), leaver.id());
			if (record.state() == MemberState.LEAVING) {
				leavingNodes.add(leaver);
			}
		}
	}

	private void onDecision(DecisionRecord decision) {
		boolean domain = decision.result().equals("domain-failed");
		if (!domain && !decision.result().equals("failed")) {
			return;
		}
		this.detectedFailures++;
		if (domain) {
			this.violations.check(!this.faultFree, "live-domain-failed", "%s declared failed without faults",
					decision.subject());
			return;
		}
		FleetNode node = this.fleet.node(InstanceId.of(decision.subject()));
		boolean live = node.isAlive() && decision.inputs()
			.stream()
			.anyMatch((field) -> field.key().equals("incarnation")
					&& field.value().equals(node.descriptor().incarnation().toString()));
		if (live) {
			this.violations.check(!this.faultFree, "live-member-failed", "%s declared failed without faults",
					node.id());
			this.violations.check(countRecentProbers(node.id()) >= 2, "judged-on-one-word",
					"%s declared failed with fewer than two recent probers", node.id());
		}
	}

	private long countRecentProbers(InstanceId id) {
		long since = this.fleet.time().now() - PROBE_WINDOW_NANOS;
		return this.probes.getOrDefault(id, Map.of()).values().stream().filter((at) -> at >= since).count();
	}

}
