package org.comfreywall.gateway.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.control.log.Membership;
import org.comfreywall.control.log.MembershipChange;
import org.comfreywall.control.log.Role;
import org.comfreywall.control.runtime.ControlNode;

/**
 * Changes the voters of the replicated log while this process is its leader. Confined to
 * the event loop.
 */
final class VoterMaintenance {

	private static final EventLog LOG = EventLog.of(VoterMaintenance.class);

	private final VoterPlanner planner;

	private final String self;

	private final PeerTable peers;

	private final Supplier<Optional<ControlNode>> node;

	private final Executor loop;

	/**
	 * Creates the maintenance.
	 * @param settings the settings with this process's instance and the number of voters
	 * @param peers the other processes
	 * @param node returns the local replica, if it is open
	 * @param loop the event loop
	 */
	VoterMaintenance(FleetSettings settings, PeerTable peers, Supplier<Optional<ControlNode>> node, Executor loop) {
		this.planner = new VoterPlanner(settings.targetVoters());
		this.self = settings.instance();
		this.peers = peers;
		this.node = node;
		this.loop = loop;
	}

	/**
	 * Makes the next change of the voters; does nothing without a valid leader lease.
	 * <p>
	 * A voter that is silent or stops is replaced at once if another process with a disk
	 * is available: until then it counts towards the majority, and one more lost disk
	 * could leave none.
	 * @param now the current time in nanoseconds
	 */
	void plan(long now) {
		this.node.get().filter(ControlNode::holdsLease).ifPresent((leader) -> plan(leader, now));
	}

	private void plan(ControlNode leader, long now) {
		Membership membership = leader.status().membership();
		List<FleetPeer> staying = this.peers.stayingPeers(now);
		Set<String> available = instances(staying);
		available.add(this.self);
		Set<String> lost = membership.members()
			.stream()
			.map((member) -> member.instance().value())
			.filter((instance) -> !available.contains(instance))
			.collect(Collectors.toSet());
		this.planner.nextChange(membership, staying, lost).ifPresent((change) -> change(leader, change, lost));
	}

	private void change(ControlNode leader, MembershipChange change, Set<String> lost) {
		leader.changeMembers(change).thenAcceptAsync((result) -> {
			LOG.info("voters-changed", Field.of("change", change), Field.of("lost", lost),
					Field.of("error", result.error().map((error) -> error.message()).orElse("none")));
			if (result.value().isPresent()) {
				plan(System.nanoTime());
			}
		}, this.loop);
	}

	/**
	 * Transfers leadership to a voter that stays; does nothing at other processes than
	 * the leader.
	 */
	void transferLeadership() {
		Set<String> staying = instances(this.peers.stayingPeers(System.nanoTime()));
		this.node.get()
			.filter((leader) -> leader.status().role() == Role.LEADER)
			.ifPresent((leader) -> leader.status()
				.membership()
				.voters()
				.stream()
				.filter((voter) -> staying.contains(voter.instance().value()))
				.findFirst()
				.ifPresent((voter) -> leader.transferLeadership(voter.instance())));
	}

	private static Set<String> instances(List<FleetPeer> peers) {
		return peers.stream().map(FleetPeer::instance).collect(Collectors.toSet());
	}

}
