package org.comfreywall.control.member;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.spread.Coverage;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.Laggard;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.SpreadCommand;
import org.comfreywall.control.spread.SpreadCore;
import org.comfreywall.control.spread.SpreadEvent;
import org.comfreywall.control.spread.SpreadNode;
import org.comfreywall.control.spread.SpreadSettings;

/**
 * The node of a control instance. It combines a node of the relay tree with a membership
 * core, which maintains the members while the instance is the leader.
 */
public final class ControlNode implements SpreadCore {

	private final NodeDescriptor self;

	private final SpreadNode node;

	private final Membership membership;

	/**
	 * Creates a control instance's node.
	 * @param self the node's descriptor, with the role {@link NodeRole#CONTROL}
	 * @param controls all control instances
	 * @param treeSettings the settings of the relay tree
	 * @param membershipSettings the settings of the membership core
	 * @param random the source of randomness
	 * @param decisions the listener that records decisions
	 */
	public ControlNode(NodeDescriptor self, List<NodeDescriptor> controls, SpreadSettings treeSettings,
			MembershipSettings membershipSettings, RandomGenerator random, DecisionListener decisions) {
		this.self = Preconditions.notNull(self, "self");
		Preconditions.check(self.role() == NodeRole.CONTROL, "role must be CONTROL: %s", self.role());
		this.node = new SpreadNode(self, controls, treeSettings, MemberEntries::activeNodes, random, decisions);
		this.membership = new Membership(self, membershipSettings, random, decisions);
	}

	@Override
	public List<SpreadCommand> on(SpreadEvent event, long now) {
		List<SpreadCommand> commands = this.node.on(event, now);
		if (event instanceof SpreadEvent.LeaderChanged changed) {
			onLeaderChanged(changed, now);
		}
		List<SpreadCommand> forwarded = new ArrayList<>(commands.size());
		dispatch(commands, forwarded, now);
		if (event instanceof SpreadEvent.Tick) {
			this.membership.tick(now);
		}
		for (ProbeAssignment assignment : this.membership.takeProbes()) {
			startProbe(assignment, forwarded, now);
		}
		List<EntryChange> changes = this.membership.takeChanges(now);
		if (!changes.isEmpty()) {
			dispatch(this.node.on(new SpreadEvent.MembersChanged(changes), now), forwarded, now);
		}
		return forwarded;
	}

	/**
	 * Returns this instance's node of the relay tree. Callers must not pass events to it.
	 * @return the node
	 */
	public SpreadNode node() {
		return this.node;
	}

	/**
	 * Returns the coverage of a configuration revision among all members that have not
	 * failed. Members that are not attached to the tree count as lagging behind. The
	 * result is complete only at the leader.
	 * @param revision the revision
	 * @return the coverage
	 */
	public Coverage coverage(long revision) {
		Coverage attached = this.node.coverage(revision);
		List<Laggard> laggingNodes = new ArrayList<>(attached.behind());
		List<InstanceId> unreported = this.membership.unreportedMembers();
		unreported.stream()
			.limit(Coverage.MAX_LISTED - laggingNodes.size())
			.forEach((id) -> laggingNodes.add(new Laggard(id, 0)));
		return new Coverage(attached.nodes() + unreported.size(), revision, attached.behindCount() + unreported.size(),
				laggingNodes);
	}

	private void onLeaderChanged(SpreadEvent.LeaderChanged changed, long now) {
		boolean isLeader = changed.leader().filter(this.self.id()::equals).isPresent();
		if (isLeader && !changed.term().isBefore(this.node.term())) {
			this.membership.startLeading(this.node.memberSnapshot().entries(), now);
		}
		else {
			this.membership.stopLeading();
		}
	}

	private void dispatch(List<SpreadCommand> commands, List<SpreadCommand> forwarded, long now) {
		for (SpreadCommand command : commands) {
			if (command instanceof SpreadCommand.ReportsReceived reports) {
				this.membership.onReports(reports.reports(), now);
			}
			else if (command instanceof SpreadCommand.LeaveNoticeReceived notice) {
				this.membership.onLeave(notice.node(), now);
			}
			else if (command instanceof SpreadCommand.ProbeCompleted probe) {
				this.membership.onProbed(probe.prober(), probe.result(), now);
			}
			else {
				forwarded.add(command);
			}
		}
	}

	private void startProbe(ProbeAssignment assignment, List<SpreadCommand> forwarded, long now) {
		if (assignment.prober().id().equals(this.self.id())) {
			SpreadEvent received = new SpreadEvent.Received(assignment.prober(), assignment.request());
			dispatch(this.node.on(received, now), forwarded, now);
		}
		else {
			forwarded.add(new SpreadCommand.Send(assignment.prober(), assignment.request()));
		}
	}

}
