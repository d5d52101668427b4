package org.comfreywall.group.mapswitch;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.map.MapVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SwitchAgent}.
 */
class SwitchAgentTests {

	private static final MapRef FIRST = new MapRef(MapVersion.of(1), "first");

	private static final MapRef SECOND = new MapRef(MapVersion.of(2), "second");

	private static final SwitchId ID = new SwitchId(Term.of(1), 1);

	private static final MapBoundary BOUNDARY = new MapBoundary(10, SECOND, ID);

	private final Member member = new Member(BackendServerId.of("a"), Incarnation.of(1));

	private final Invariants invariants = new Invariants();

	private final SwitchAgent agent = new SwitchAgent(3, this.member, AgentSettings.DEFAULT, DecisionListener.NONE,
			this.invariants);

	private long sequence;

	private void armed() {
		staged();
		order(new ArmSwitch(next(), BOUNDARY, Long.MAX_VALUE));
	}

	private void staged() {
		connect(4, FIRST);
		reach(5);
		welcome();
		reach(6);
		order(new StageMap(next(), SECOND));
		this.agent.handle(new EngineLoaded(SECOND), 0);
	}

	private void connect(long lastStep, MapRef active) {
		this.agent.handle(new EngineConnected(lastStep, Optional.of(active), Optional.empty()), 0);
	}

	private List<AgentCommand> welcome() {
		MapTimeline timeline = MapTimeline.EMPTY.with(new MapBoundary(0, FIRST, SwitchId.ZERO));
		return order(new Welcome(next(), 1, timeline, SwitchId.ZERO));
	}

	private List<AgentCommand> reach(long step) {
		return this.agent.handle(new StepReached(step), AgentSettings.DEFAULT.retryNanos());
	}

	private List<AgentCommand> order(AgentOrder order) {
		return this.agent.handle(new OrderReceived(this.member, order), 0);
	}

	private FencingNumber next() {
		this.sequence++;
		return number(this.sequence);
	}

	private static FencingNumber number(long value) {
		return new FencingNumber(Term.of(1), value);
	}

	private long sequence() {
		return this.sequence;
	}

	private SwitchAgent agent() {
		return this.agent;
	}

	private Member member() {
		return this.member;
	}

	@Nested
	class Joining {

		@Test
		void holdsEveryStepUntilWelcomeOrderArrives() {
			connect(4, FIRST);

			assertThat(reach(5)).isEmpty();
			assertThat(welcome()).containsExactly(new GrantStep(number(1), 5, FIRST));
		}

		@Test
		void loadsMapBeforeGrantingStepToNewEngine() {
			agent().handle(new EngineConnected(-1, Optional.empty(), Optional.empty()), 0);
			reach(5);

			assertThat(welcome()).containsExactly(new LoadMap(number(1), FIRST));
			assertThat(agent().handle(new EngineLoaded(FIRST), 0)).contains(new GrantStep(number(1), 5, FIRST));
		}

		@Test
		void ignoresOrderAddressedToPreviousIncarnation() {
			connect(4, FIRST);
			Member previous = new Member(BackendServerId.of("a"), Incarnation.of(0));

			agent().handle(new OrderReceived(previous, new Dismiss(number(1))), 0);

			assertThat(agent().state()).isEqualTo(AgentState.JOINING);
		}

	}

	@Nested
	class Switching {

		@Test
		void holdsAtBoundaryAndQueriesDecisionUntilItArrives() {
			armed();

			assertThat(reach(9)).hasSize(1);
			assertThat(reach(10)).containsExactly(new SendReport(new DecisionQuery(3, member(), ID)));
			assertThat(order(new ReleaseSwitch(next(), new CommitDecision(BOUNDARY))))
				.endsWith(new GrantStep(number(sequence()), 10, SECOND));
		}

		@Test
		void keepsCurrentMapAfterAbort() {
			armed();
			order(new ReleaseSwitch(next(), new AbortDecision(ID)));

			assertThat(reach(10)).containsExactly(new GrantStep(number(sequence()), 10, FIRST));
		}

		@Test
		void refusesArmOrderForStepAlreadyGranted() {
			staged();
			reach(10);

			assertThat(order(new ArmSwitch(next(), BOUNDARY, 0))).containsExactly(
					new SendReport(new ArmRefused(3, member(), ID, ArmRefusal.STEP_STARTED, 10, Optional.empty())));
		}

		@Test
		void refusesSecondAttemptWhileFirstIsUndecided() {
			armed();
			SwitchId later = new SwitchId(Term.of(1), 2);

			assertThat(order(new ArmSwitch(next(), new MapBoundary(20, SECOND, later), 0))).containsExactly(
					new SendReport(new ArmRefused(3, member(), later, ArmRefusal.OTHER_UNDECIDED, 6, Optional.of(ID))));
		}

		@Test
		void ignoresDelayedArmOrderAfterDecision() {
			armed();
			order(new ReleaseSwitch(next(), new AbortDecision(ID)));

			assertThat(order(new ArmSwitch(next(), BOUNDARY, 0))).isEmpty();
			assertThat(reach(10)).hasSize(1);
		}

		@Test
		void keepsStagedMapUntilItsFirstStep() {
			armed();
			order(new ReleaseSwitch(next(), new CommitDecision(BOUNDARY)));

			assertThat(order(new StageMap(next(), new MapRef(MapVersion.of(3), "third")))).isEmpty();
		}

		@Test
		void stopsOnCommitOfAttemptItIsNotArmedFor() {
			staged();

			order(new ReleaseSwitch(next(), new CommitDecision(BOUNDARY)));

			assertThat(agent().state()).isEqualTo(AgentState.DISMISSED);
			assertThat(SwitchAgentTests.this.invariants.violations()).isEqualTo(1);
			assertThat(reach(7)).isEmpty();
		}

	}

	@Nested
	class Fencing {

		@Test
		void rejectsOrderOfEarlierTerm() {
			staged();
			order(new StageMap(new FencingNumber(Term.of(2), 1), SECOND));

			assertThat(order(new ArmSwitch(number(99), BOUNDARY, 0))).isEmpty();
		}

		@Test
		void rejectsDelayedStageOrderOfSameTerm() {
			staged();

			assertThat(order(new StageMap(number(1), new MapRef(MapVersion.of(9), "old")))).isEmpty();
		}

	}

}
