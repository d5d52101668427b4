package org.comfreywall.group.moves;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.placement.ExpertMove;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link MoveScheduler}.
 */
class MoveSchedulerTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final PlanId FIRST = new PlanId(GroupId.of("a"), 1);

	private static final PlanId NEWER = new PlanId(GroupId.of("a"), 2);

	private static final PlanId OTHER = new PlanId(GroupId.of("b"), 1);

	private final DecisionHistory history = new DecisionHistory(16);

	private final WeightStoreBucket bucket = new WeightStoreBucket(100, 100, 0);

	private final MoveScheduler scheduler = new MoveScheduler(new MoveSchedulerSettings(Duration.ofSeconds(30), 2, 2),
			this.bucket, this.history, new Invariants());

	@Test
	void readsNothingBeforeThePlanIsDurable() {
		MovePlan plan = new MovePlan(FIRST, List.of(move(0, 100, 1)));
		assertThat(this.scheduler.handle(new MoveEvent.PlanAccepted(plan), 5 * SECOND))
			.contains(new MoveCommand.SavePlan(plan))
			.noneMatch(MoveCommand.StartRead.class::isInstance);
		assertThat(started(new MoveEvent.PlanSaved(FIRST), 5 * SECOND)).containsExactly(new MoveId(FIRST, 0));
	}

	@Test
	void readsInOrderOfGainPerByteAcrossAllGroups() {
		accept(new MovePlan(FIRST, List.of(move(0, 50, 1), move(1, 50, 4))), 0);
		accept(new MovePlan(OTHER, List.of(move(0, 25, 1), move(1, 50, 8))), 0);
		assertThat(started(new MoveEvent.Tick(), SECOND)).containsExactly(new MoveId(OTHER, 1), new MoveId(FIRST, 1));
		assertThat(started(new MoveEvent.Tick(), 2 * SECOND)).containsExactly(new MoveId(OTHER, 0),
				new MoveId(FIRST, 0));
	}

	@Test
	void reportsAPlanWhoseMovesAreAllStaged() {
		accept(new MovePlan(FIRST, List.of(move(0, 50, 1))), 0);
		this.scheduler.handle(new MoveEvent.Tick(), SECOND);
		assertThat(this.scheduler.handle(new MoveEvent.MoveStaged(new MoveId(FIRST, 0)), SECOND))
			.contains(new MoveCommand.PlanStaged(FIRST));
	}

	@Test
	void resumesARecoveredPlanWithoutReadingStagedMovesAgain() {
		MovePlan plan = new MovePlan(FIRST, List.of(move(0, 50, 2), move(1, 50, 1)));
		assertThat(started(new MoveEvent.PlanRecovered(plan, Set.of(0)), SECOND)).containsExactly(new MoveId(FIRST, 1));
	}

	private void accept(MovePlan plan, long now) {
		this.scheduler.handle(new MoveEvent.PlanAccepted(plan), now);
		this.scheduler.handle(new MoveEvent.PlanSaved(plan.id()), now);
	}

	private List<MoveId> started(MoveEvent event, long now) {
		return this.scheduler.handle(event, now)
			.stream()
			.filter(MoveCommand.StartRead.class::isInstance)
			.map((command) -> ((MoveCommand.StartRead) command).id())
			.toList();
	}

	private static ExpertMove move(int expert, long bytes, double gain) {
		return new ExpertMove(0, 0, expert, expert, bytes, gain);
	}

	@Nested
	class WhenAPlanEnds {

		@Test
		void cancelsItsReads() {
			accept(new MovePlan(FIRST, List.of(move(0, 50, 1), move(1, 100, 1))), 0);
			MoveSchedulerTests.this.scheduler.handle(new MoveEvent.Tick(), SECOND);
			assertThat(MoveSchedulerTests.this.scheduler.handle(new MoveEvent.PlanCancelled(FIRST, "operator"), SECOND))
				.containsExactly(new MoveCommand.CancelRead(new MoveId(FIRST, 0)), new MoveCommand.DropPlan(FIRST));
			assertThat(started(new MoveEvent.Tick(), 9 * SECOND)).isEmpty();
		}

		@Test
		void keepsStagedWeightsForTheNewerPlan() {
			accept(new MovePlan(FIRST, List.of(move(0, 50, 2), move(1, 100, 1))), 0);
			MoveSchedulerTests.this.scheduler.handle(new MoveEvent.Tick(), SECOND);
			MoveSchedulerTests.this.scheduler.handle(new MoveEvent.MoveStaged(new MoveId(FIRST, 0)), SECOND);
			MovePlan newer = new MovePlan(NEWER, List.of(move(2, 50, 1), move(0, 50, 1)));
			MoveSchedulerTests.this.scheduler.handle(new MoveEvent.PlanAccepted(newer), SECOND);
			assertThat(started(new MoveEvent.PlanSaved(NEWER), SECOND)).containsExactly(new MoveId(NEWER, 0));
			assertThat(started(new MoveEvent.Tick(), 3 * SECOND)).isEmpty();
		}

		@Test
		void ignoresAnOlderPlan() {
			accept(new MovePlan(NEWER, List.of(move(0, 50, 1))), 0);
			MovePlan older = new MovePlan(FIRST, List.of(move(0, 50, 1)));
			assertThat(MoveSchedulerTests.this.scheduler.handle(new MoveEvent.PlanAccepted(older), 0))
				.noneMatch(MoveCommand.SavePlan.class::isInstance);
		}

		@Test
		void cancelsThePlanAfterTheLastAttempt() {
			accept(new MovePlan(FIRST, List.of(move(0, 50, 1))), 0);
			assertThat(started(new MoveEvent.Tick(), SECOND)).hasSize(1);
			assertThat(started(new MoveEvent.Tick(), 40 * SECOND)).hasSize(1);
			assertThat(MoveSchedulerTests.this.scheduler.handle(new MoveEvent.Tick(), 80 * SECOND))
				.contains(new MoveCommand.DropPlan(FIRST));
			assertThat(MoveSchedulerTests.this.history.findBySubject("a")).last()
				.extracting("result")
				.isEqualTo("cancelled");
		}

	}

}
