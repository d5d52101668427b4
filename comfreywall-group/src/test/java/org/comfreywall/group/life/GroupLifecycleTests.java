package org.comfreywall.group.life;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.Term;
import org.comfreywall.group.mapswitch.LedgerState;
import org.comfreywall.group.mapswitch.MapTimeline;
import org.comfreywall.group.mapswitch.Member;
import org.comfreywall.group.mapswitch.SwitchId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupLifecycle}.
 */
class GroupLifecycleTests {

	private static final LifecycleSettings SETTINGS = new LifecycleSettings(100, 50, 2, 40, 80);

	private final Member first = member("a", 1);

	private final Member second = member("b", 1);

	private final Member spare = member("c", 1);

	private final GroupLifecycle life = new GroupLifecycle("g", 2, SETTINGS, DecisionListener.NONE);

	@BeforeEach
	void formGroup() {
		this.life.handle(new MemberAnnounced(this.first), 0);
		this.life.handle(new MemberAnnounced(this.second), 0);
		durable(this.first, this.second, 0);
		this.life.handle(new MemberAnnounced(this.spare), 0);
		heartbeat(this.first, 0, EngineActivity.COMPUTING, 1);
	}

	@Test
	void routesGroupOnceEveryRankRuns() {
		assertThat(this.life.state()).isEqualTo(GroupState.FORMING);
		assertThat(heartbeat(this.second, 0, EngineActivity.COMPUTING, 2)).containsExactly(new RouteGroup());
		assertThat(this.life.state()).isEqualTo(GroupState.RUNNING);
	}

	@Test
	void replacesExitedMemberBySpareAndWithdrawsGroup() {
		heartbeat(this.second, 0, EngineActivity.COMPUTING, 2);

		assertThat(this.life.handle(new MemberExited(this.second), 3))
			.containsExactly(new RequestAssignment(1, this.spare), new WithdrawGroup());
		assertThat(durable(this.first, this.spare, 4)).containsExactly(new ReleaseMember(this.second));
		assertThat(heartbeat(this.spare, 0, EngineActivity.COMPUTING, 5)).containsExactly(new RouteGroup());
	}

	@Test
	void reassignsRankToRestartedMember() {
		Member restarted = member("b", 2);

		assertThat(this.life.handle(new MemberAnnounced(restarted), 3)).contains(new RequestAssignment(1, restarted));
	}

	@Test
	void marksRankWithoutHeartbeatsLateWhileGroupProgresses() {
		heartbeat(this.second, 0, EngineActivity.COMPUTING, 2);
		heartbeat(this.first, 5, EngineActivity.COMPUTING, 100);

		assertThat(this.life.handle(new GroupTick(), 110)).isEmpty();
		assertThat(healthOfSecond()).isEqualTo(RankHealth.LATE);
	}

	@Test
	void probesRankWithoutHeartbeatsWhenGroupMakesNoProgress() {
		heartbeat(this.second, 0, EngineActivity.COMPUTING, 2);
		heartbeat(this.first, 1, EngineActivity.WAITING_FOR_PEERS, 100);

		assertThat(this.life.handle(new GroupTick(), 110)).containsExactly(new ProbeMember(this.second));
		this.life.handle(new ProbeAnswered(this.second), 111);
		assertThat(healthOfSecond()).isEqualTo(RankHealth.LATE);
	}

	@Test
	void failsRankOnlyAfterSecondFailedProbe() {
		heartbeat(this.second, 0, EngineActivity.COMPUTING, 2);
		this.life.handle(new GroupTick(), 110);
		this.life.handle(new ProbeFailed(this.second), 120);
		assertThat(healthOfSecond()).isEqualTo(RankHealth.SUSPECTED);

		this.life.handle(new GroupTick(), 121);
		assertThat(this.life.handle(new ProbeFailed(this.second), 122)).contains(new RequestAssignment(1, this.spare));
	}

	@Test
	void marksRankThatBlocksOthersStalledAndReplacesIt() {
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 10);
		heartbeat(this.first, 3, EngineActivity.WAITING_FOR_PEERS, 11);
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 49);
		heartbeat(this.first, 3, EngineActivity.WAITING_FOR_PEERS, 49);

		assertThat(this.life.handle(new GroupTick(), 50)).containsExactly(new WithdrawGroup());
		assertThat(healthOfSecond()).isEqualTo(RankHealth.STALLED);
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 89);
		assertThat(this.life.handle(new GroupTick(), 90)).containsExactly(new RequestAssignment(1, this.spare));
	}

	@Test
	void keepsRankHealthyThatHoldsForDecision() {
		heartbeat(this.second, 3, EngineActivity.HOLDING, 10);
		heartbeat(this.first, 3, EngineActivity.WAITING_FOR_PEERS, 60);
		heartbeat(this.second, 3, EngineActivity.HOLDING, 60);

		this.life.handle(new GroupTick(), 70);

		assertThat(healthOfSecond()).isEqualTo(RankHealth.HEALTHY);
	}

	@Test
	void doesNotStallRankWithoutHeartbeatsWhileAnotherComputes() {
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 10);
		heartbeat(this.first, 3, EngineActivity.COMPUTING, 110);
		this.life.handle(new GroupTick(), 111);
		this.life.handle(new ProbeAnswered(this.second), 112);
		heartbeat(this.first, 3, EngineActivity.COMPUTING, 190);

		assertThat(this.life.handle(new GroupTick(), 200)).isEmpty();
		assertThat(healthOfSecond()).isEqualTo(RankHealth.LATE);
	}

	@Test
	void doesNotStallRankWhoseHeartbeatIsBehindTheGroupStep() {
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 10);
		heartbeat(this.first, 8, EngineActivity.WAITING_FOR_PEERS, 60);

		assertThat(this.life.handle(new GroupTick(), 95)).isEmpty();
		assertThat(healthOfSecond()).isEqualTo(RankHealth.HEALTHY);
	}

	@Test
	void doesNotCountHeartbeatGapAsStall() {
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 10);
		heartbeat(this.first, 3, EngineActivity.WAITING_FOR_PEERS, 111);
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 112);

		assertThat(this.life.handle(new GroupTick(), 113)).isEmpty();
		assertThat(healthOfSecond()).isEqualTo(RankHealth.HEALTHY);
	}

	@Test
	void stallsRankWithoutHeartbeatsWhenAllOthersWaitForPeers() {
		heartbeat(this.second, 3, EngineActivity.COMPUTING, 10);
		heartbeat(this.first, 3, EngineActivity.WAITING_FOR_PEERS, 110);
		this.life.handle(new GroupTick(), 111);
		this.life.handle(new ProbeAnswered(this.second), 112);

		assertThat(this.life.handle(new GroupTick(), 149)).isEmpty();
		assertThat(this.life.handle(new GroupTick(), 150)).containsExactly(new WithdrawGroup());
		heartbeat(this.first, 3, EngineActivity.WAITING_FOR_PEERS, 180);
		assertThat(this.life.handle(new GroupTick(), 190)).containsExactly(new RequestAssignment(1, this.spare));
	}

	@Test
	void ignoresMembershipOlderThanTheAppliedOne() {
		durable(3, this.first, this.spare, 3);

		assertThat(durable(2, this.first, this.second, 4)).isEmpty();
		assertThat(this.life.ranks().get(1).member()).contains(this.spare);
	}

	@Test
	void assignsSpareToOneRankOnly() {
		assertThat(this.life.handle(new MemberExited(this.second), 3)).contains(new RequestAssignment(1, this.spare));

		this.life.handle(new MemberAnnounced(this.spare), 4);

		assertThat(this.life.handle(new MemberExited(this.first), 5))
			.doesNotContain(new RequestAssignment(0, this.spare));
	}

	@Test
	void releasesMembersWhenDissolved() {
		assertThat(this.life.handle(new DissolveRequested(), 3)).containsExactly(new WithdrawGroup(),
				new ReleaseMember(this.first), new ReleaseMember(this.second));
		assertThat(this.life.handle(new MemberAnnounced(this.spare), 4)).isEmpty();
	}

	private RankHealth healthOfSecond() {
		return this.life.ranks().get(1).health();
	}

	private List<GroupCommand> heartbeat(Member member, long step, EngineActivity activity, long now) {
		return this.life.handle(new HeartbeatReceived(member, step, activity), now);
	}

	private List<GroupCommand> durable(Member zero, Member one, long now) {
		return durable(1, zero, one, now);
	}

	private List<GroupCommand> durable(long index, Member zero, Member one, long now) {
		LedgerState state = new LedgerState(index, Term.of(1), 2, new TreeMap<>(Map.of(0, zero, 1, one)), Map.of(),
				MapTimeline.EMPTY, SwitchId.ZERO);
		return this.life.handle(new MembershipDurable(state), now);
	}

	private static Member member(String server, long incarnation) {
		return new Member(BackendServerId.of(server), Incarnation.of(incarnation));
	}

}
