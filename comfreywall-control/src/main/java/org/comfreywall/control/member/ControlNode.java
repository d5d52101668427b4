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
 * The decision core of a control instance: a node of the relay tree that, while its
 * instance leads, also keeps the members.
 */
public final class ControlNode implements SpreadCore {

	private final NodeDescriptor self;

	private final SpreadNode node;

	private final Membership membership;

	/**
	 * Creates a control instance's node.
	 * @param self the instance, of role {@link NodeRole#CONTROL}
	 * @param controls all control instances
	 * @param spread the settings of the tree
	 * @param member the settings of the membership
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
		List<SpreadCommand> passed = new ArrayList<>(commands.size());
		consume(commands, passed, now);
		if (event instanceof SpreadEvent.Tick) {
			this.membership.tick(now);
		}
		for (ProbeOrder order : this.membership.takeProbes()) {
			probe(order, passed, now);
		}
		List<EntryChange> changes = this.membership.takeChanges(now);
		if (!changes.isEmpty()) {
			consume(this.node.on(new SpreadEvent.MembersChanged(changes), now), passed, now);
		}
		return passed;
	}

	/**
	 * Returns the node of the relay tree.
	 * @return the node, to be read only
	 */
	public SpreadNode node() {
		return this.node;
	}

	/**
	 * Tells which nodes have not got a revision; meaningful at the leader.
	 * @param number the revision
	 * @return the coverage of all members that have not failed; nodes that are not
	 * attached at the moment count as behind
	 */
	public Coverage coverage(long number) {
		Coverage attached = this.node.coverage(number);
		List<Laggard> behind = new ArrayList<>(attached.behind());
		List<InstanceId> unheard = this.membership.unheard();
		unheard.stream().limit(Coverage.MAX_NAMED - behind.size()).forEach((id) -> behind.add(new Laggard(id, 0)));
		return new Coverage(attached.nodes() + unheard.size(), number, attached.behindCount() + unheard.size(), behind);
	}

	private void leaderChanged(SpreadEvent.LeaderChanged changed, long now) {
		boolean leads = changed.leader().filter(this.self.id()::equals).isPresent();
		if (leads && !changed.term().isBefore(this.node.term())) {
			this.membership.lead(this.node.memberSnapshot().entries(), now);
		}
		else {
			this.membership.resign();
		}
	}

	private void consume(List<SpreadCommand> commands, List<SpreadCommand> passed, long now) {
		for (SpreadCommand command : commands) {
			if (command instanceof SpreadCommand.Reported reported) {
				this.membership.onReports(reported.reports(), now);
			}
			else if (command instanceof SpreadCommand.LeaveReported leave) {
				this.membership.onLeave(leave.node(), now);
			}
			else if (command instanceof SpreadCommand.Probed probed) {
				this.membership.onProbed(probed.prober(), probed.result(), now);
			}
			else {
				passed.add(command);
			}
		}
	}

	private void probe(ProbeOrder order, List<SpreadCommand> passed, long now) {
		if (order.prober().id().equals(this.self.id())) {
			SpreadEvent own = new SpreadEvent.Received(order.prober(), order.request());
			consume(this.node.on(own, now), passed, now);
		}
		else {
			passed.add(new SpreadCommand.Send(order.prober(), order.request()));
		}
	}

}
