package org.comfreywall.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.control.log.AddLearner;
import org.comfreywall.control.log.Member;
import org.comfreywall.control.log.Membership;
import org.comfreywall.control.log.PromoteLearner;
import org.comfreywall.control.log.RemoveMember;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link VoterPlanner}.
 */
class VoterPlannerTests {

	private final VoterPlanner planner = new VoterPlanner(3);

	private static FleetPeer peer(String name, long storage) {
		return new FleetPeer(name, new HostPort("127.0.0.1", 1), "a", 1, storage);
	}

	private static Member voter(String name) {
		return new Member(InstanceId.of(name), 1, true);
	}

	private static Membership membership(Member... members) {
		return new Membership(List.of(members));
	}

	@Test
	void plansNoChangeWhileAllVotersAreLive() {
		assertThat(this.planner.nextChange(membership(voter("a"), voter("b"), voter("c")),
				List.of(peer("a", 1), peer("b", 1), peer("c", 1), peer("d", 9)), Set.of()))
			.isEmpty();
	}

	@Test
	void aVoterThatLostItsDiskIsRemovedAndAddedAsALearnerBeforeItVotesAgain() {
		Membership three = membership(voter("a"), voter("b"), voter("c"));
		List<FleetPeer> live = List.of(peer("a", 1), peer("b", 1), peer("c", 77));
		assertThat(this.planner.nextChange(three, live, Set.of())).contains(new RemoveMember(InstanceId.of("c")));
		Membership two = membership(voter("a"), voter("b"));
		assertThat(this.planner.nextChange(two, live, Set.of())).contains(new AddLearner(InstanceId.of("c"), 77));
		List<Member> withLearner = new ArrayList<>(two.members());
		withLearner.add(new Member(InstanceId.of("c"), 77, false));
		assertThat(this.planner.nextChange(new Membership(withLearner), live, Set.of()))
			.contains(new PromoteLearner(InstanceId.of("c")));
	}

	@Test
	void aLostVoterIsRemovedOnlyAfterItsReplacementVotes() {
		Membership three = membership(voter("a"), voter("b"), voter("c"));
		List<FleetPeer> live = List.of(peer("a", 1), peer("b", 1), peer("d", 9));
		assertThat(this.planner.nextChange(three, live, Set.of("c"))).contains(new AddLearner(InstanceId.of("d"), 9));
		Membership four = membership(voter("a"), voter("b"), voter("c"), new Member(InstanceId.of("d"), 9, true));
		assertThat(this.planner.nextChange(four, live, Set.of("c"))).contains(new RemoveMember(InstanceId.of("c")));
	}

	@Test
	void aLostVoterIsKeptIfNoReplacementIsAvailable() {
		Membership three = membership(voter("a"), voter("b"), voter("c"));
		assertThat(this.planner.nextChange(three, List.of(peer("a", 1), peer("b", 1)), Set.of("c")))
			.isEqualTo(Optional.empty());
	}

	@Test
	void aProcessWithoutDiskNeverBecomesAMember() {
		assertThat(this.planner.nextChange(membership(voter("a"), voter("b")), List.of(peer("d", 0)), Set.of()))
			.isEmpty();
	}

}
