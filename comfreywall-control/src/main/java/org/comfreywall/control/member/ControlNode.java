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
 * The core of a control instance: a node of the relay tree that also maintains the
 * members while its instance is the leader.
 */
public final class ControlNode implements SpreadCore {

	private final NodeDescriptor self;

	private final SpreadNode node;

	private final Membership membership;

	/**
	 * Creates a control instance's node.
	 * @param self the instance, of role {@link NodeRole#CONTROL}
	 * @param controls all control instances
	 * @param spread the settings of the relay tree
	 * @param member the settings of the membership core
	 * @param random the source of randomness
	 * @param decisions receives the decisions
	 */
	public ControlNode(NodeDescriptor self, List<NodeDescriptor> controls, SpreadSettings spread,
			MembershipSettings member, RandomGenerator random, DecisionListener decisions) {
		this.self = Preconditions.notNull(self, "self");
		Preconditions.check(self.role() == NodeRole.CONTROL, "self must be a control instance: %s", self.role());
		this.node = new SpreadNode(self, controls, spread, MemberEntries::activeNodes, random, decisions);
		this.membership = new Membership(self, member, random, decisions);
	}

	@Override
	public List<SpreadCommand> on(SpreadEvent event, long now) {
		List<SpreadCommand> commands = this.node.on(event, now);
		if (event instanceof SpreadEvent.LeaderChanged changed) {
			leaderChanged(changed, now);
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
	 * Returns the node of the relay tree.
	 * @return the node; callers must not send it events
	 */
	public SpreadNode node() {
		return this.node;
	}

	/**
	 * Returns the coverage of a configuration revision; meaningful at the leader only.
	 * @param number the revision
	 * @return the coverage of all members that have not failed; nodes that are currently
	 * not attached to the tree count as behind
	 */
	public Coverage coverage(long number) {
		Coverage attached = this.node.coverage(number);
		List<Laggard> behind = new ArrayList<>(attached.behind());
		List<InstanceId> unreported = this.membership.unreportedMembers();
		unreported.stream().limit(Coverage.MAX_LISTED - behind.size()).forEach((id) -> behind.add(new Laggard(id, 0)));
		return new Coverage(attached.nodes() + unreported.size(), number, attached.behindCount() + unreported.size(),
				behind);
	}

	private void leaderChanged(SpreadEvent.LeaderChanged changed, long now) {
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
			if (command instanceof SpreadCommand.ReportsReceived reported) {
				this.membership.onReports(reported.reports(), now);
			}
			else if (command instanceof SpreadCommand.LeaveNoticeReceived leave) {
				this.membership.onLeave(leave.node(), now);
			}
			else if (command instanceof SpreadCommand.ProbeCompleted probed) {
				this.membership.onProbed(probed.prober(), probed.result(), now);
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
