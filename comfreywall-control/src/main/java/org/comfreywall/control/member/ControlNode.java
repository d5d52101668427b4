package org.comfreywall.control.member;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.LaggingNode;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.RelayTreeCommand;
import org.comfreywall.control.spread.RelayTreeCore;
import org.comfreywall.control.spread.RelayTreeEvent;
import org.comfreywall.control.spread.RelayTreeNode;
import org.comfreywall.control.spread.RelayTreeSettings;
import org.comfreywall.control.spread.RevisionCoverage;

/**
 * The node of a control instance. It combines a node of the relay tree with a membership
 * core, which maintains the members while the instance is the leader.
 */
public final class ControlNode implements RelayTreeCore {

	private final NodeDescriptor self;

	private final RelayTreeNode relayTreeNode;

	private final MembershipCore membership;

	/**
	 * Creates a control instance's node.
	 * @param self the node's descriptor, with the role {@link NodeRole#CONTROL}
	 * @param controls all control instances
	 * @param treeSettings the settings of the relay tree
	 * @param membershipSettings the settings of the membership core
	 * @param random the source of randomness
	 * @param decisions the listener that records decisions
	 */
	public ControlNode(NodeDescriptor self, List<NodeDescriptor> controls, RelayTreeSettings treeSettings,
			MembershipSettings membershipSettings, RandomGenerator random, DecisionListener decisions) {
		this.self = Preconditions.notNull(self, "self");
		Preconditions.check(self.role() == NodeRole.CONTROL, "role must be CONTROL: %s", self.role());
		this.relayTreeNode = new RelayTreeNode(self, controls, treeSettings, MemberEntries::decodeActiveNodes, random,
				decisions);
		this.membership = new MembershipCore(self, membershipSettings, random, decisions);
	}

	@Override
	public List<RelayTreeCommand> on(RelayTreeEvent event, long now) {
		List<RelayTreeCommand> commands = this.relayTreeNode.on(event, now);
		if (event instanceof RelayTreeEvent.LeaderChanged changed) {
			onLeaderChanged(changed, now);
		}
		List<RelayTreeCommand> forwarded = new ArrayList<>(commands.size());
		dispatch(commands, forwarded, now);
		if (event instanceof RelayTreeEvent.Tick) {
			this.membership.tick(now);
		}
		for (ProbeAssignment assignment : this.membership.takeProbeAssignments()) {
			startProbe(assignment, forwarded, now);
		}
		List<EntryChange> changes = this.membership.takeChanges(now);
		if (!changes.isEmpty()) {
			dispatch(this.relayTreeNode.on(new RelayTreeEvent.MembersChanged(changes), now), forwarded, now);
		}
		return forwarded;
	}

	/**
	 * Returns this instance's node of the relay tree. Callers must not pass events to it.
	 * @return the node
	 */
	public RelayTreeNode relayTreeNode() {
		return this.relayTreeNode;
	}

	/**
	 * Returns the coverage of a configuration revision among all members that have not
	 * failed. Members that are not attached to the tree count as lagging behind. The
	 * result is complete only at the leader.
	 * @param revision the revision
	 * @return the coverage
	 */
	public RevisionCoverage coverage(long revision) {
		RevisionCoverage attached = this.relayTreeNode.coverage(revision);
		List<LaggingNode> laggingNodes = new ArrayList<>(attached.laggingNodes());
		List<InstanceId> unreported = this.membership.unreportedMembers();
		unreported.stream()
			.limit(RevisionCoverage.MAX_LISTED - laggingNodes.size())
			.forEach((id) -> laggingNodes.add(new LaggingNode(id, 0)));
		return new RevisionCoverage(attached.nodeCount() + unreported.size(), revision,
				attached.laggingCount() + unreported.size(), laggingNodes);
	}

	private void onLeaderChanged(RelayTreeEvent.LeaderChanged changed, long now) {
		boolean isLeader = changed.leader().filter(this.self.id()::equals).isPresent();
		if (isLeader && !changed.term().isBefore(this.relayTreeNode.term())) {
			this.membership.startLeading(this.relayTreeNode.memberSnapshot().entries(), now);
		}
		else {
			this.membership.stopLeading();
		}
	}

	private void dispatch(List<RelayTreeCommand> commands, List<RelayTreeCommand> forwarded, long now) {
		for (RelayTreeCommand command : commands) {
			if (command instanceof RelayTreeCommand.HandleReports reports) {
				this.membership.onReports(reports.reports(), now);
			}
			else if (command instanceof RelayTreeCommand.HandleLeaveNotice notice) {
				this.membership.onLeaveNotice(notice.node(), now);
			}
			else if (command instanceof RelayTreeCommand.HandleProbeResult probe) {
				this.membership.onProbeResult(probe.prober(), probe.result(), now);
			}
			else {
				forwarded.add(command);
			}
		}
	}

	private void startProbe(ProbeAssignment assignment, List<RelayTreeCommand> forwarded, long now) {
		if (assignment.prober().id().equals(this.self.id())) {
			RelayTreeEvent received = new RelayTreeEvent.MessageReceived(assignment.prober(), assignment.request());
			dispatch(this.relayTreeNode.on(received, now), forwarded, now);
		}
		else {
			forwarded.add(new RelayTreeCommand.Send(assignment.prober(), assignment.request()));
		}
	}

}
