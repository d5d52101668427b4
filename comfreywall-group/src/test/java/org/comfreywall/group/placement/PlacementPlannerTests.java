package org.comfreywall.group.placement;

import java.util.Arrays;
import java.util.Random;

import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlacementPlanner} and its decision records.
 */
class PlacementPlannerTests {

	private static final long EXPERT_BYTES = 64 << 20;

	private static final double STORE_RATE = 128 << 20;

	private static final PlacementWeights FREE_MOVES = new PlacementWeights(100, 0);

	private final GroupShape shape = GroupShape.of(1, 16, new int[] { 5, 5, 5, 5 }, new int[] { 0, 0, 1, 1 },
			EXPERT_BYTES);

	private final DecisionHistory history = new DecisionHistory(8);

	private final double[][] popularity = RandomPopularity.create(new Random(3), this.shape);

	@Test
	void recordsAnAcceptedPlanWithItsPrice() {
		Placement initialPlacement = initialPlacement();
		this.popularity[0][0] *= 8;
		PlacementPlan plan = plan(PlannerSettings.of(FREE_MOVES, STORE_RATE), initialPlacement, true);
		assertThat(plan.reason()).isEqualTo(PlanReason.CHEAPER);
		assertThat(plan.price().skewForecast()).isLessThan(plan.price().skewBefore());
		assertThat(plan.price().bytes()).isEqualTo(plan.moves().size() * EXPERT_BYTES);
		assertThat(plan.price().storeSeconds()).isEqualTo(plan.moves().size() * 0.5);
		assertThat(lastRecord().result()).isEqualTo("accepted");
		assertThat(lastRecord().inputs()).contains(Field.of("reason", "cheaper"),
				Field.of("bytes", plan.price().bytes()));
	}

	@Test
	void sortsMovesByGainPerByte() {
		Placement initialPlacement = initialPlacement();
		this.popularity[0][0] *= 8;
		PlacementPlan plan = plan(PlannerSettings.of(FREE_MOVES, STORE_RATE), initialPlacement, true);
		assertThat(plan.moves())
			.isSortedAccordingTo((left, right) -> Double.compare(right.gainPerByte(), left.gainPerByte()));
	}

	private Placement initialPlacement() {
		return plan(PlannerSettings.of(FREE_MOVES, STORE_RATE), Placement.empty(this.shape), true).placement();
	}

	private PlacementPlan plan(PlannerSettings settings, Placement current, boolean changed) {
		double[] speeds = new double[this.shape.ranks()];
		Arrays.fill(speeds, 1);
		return new PlacementPlanner(settings, this.history, new Invariants()).plan(new PlanRequest(GroupId.of("g"),
				this.shape, current, this.popularity, speeds, new boolean[] { changed }, "test"));
	}

	private DecisionRecord lastRecord() {
		return this.history.all().get(this.history.all().size() - 1);
	}

	@Nested
	class Refuses {

		@Test
		void movesWhosePriceExceedsTheirGain() {
			Placement initialPlacement = initialPlacement();
			PlacementPlannerTests.this.popularity[0][0] *= 8;
			PlannerSettings expensiveMoves = PlannerSettings.of(new PlacementWeights(1, 1e6), STORE_RATE);
			PlacementPlan redistributed = plan(expensiveMoves, initialPlacement, true);
			PlacementPlan plan = plan(expensiveMoves, redistributed.placement(), true);
			assertThat(plan.reason()).isEqualTo(PlanReason.TOO_DEAR);
			assertThat(plan.placement()).isSameAs(redistributed.placement());
			assertThat(plan.price().bytes()).isPositive();
			assertThat(lastRecord().result()).isEqualTo("refused");
		}

		@Test
		void movesWhenNothingChangedBeyondNoise() {
			Placement initialPlacement = initialPlacement();
			PlacementPlan plan = plan(PlannerSettings.of(FREE_MOVES, STORE_RATE), initialPlacement, false);
			assertThat(plan.reason()).isEqualTo(PlanReason.WITHIN_NOISE);
			assertThat(plan.moves()).isEmpty();
		}

		@Test
		void moreBytesThanAPlanMayRead() {
			Placement initialPlacement = initialPlacement();
			PlacementPlannerTests.this.popularity[0][0] *= 8;
			PlacementPlan plan = plan(new PlannerSettings(FREE_MOVES, STORE_RATE, 0, 64), initialPlacement, true);
			assertThat(plan.moves()).isEmpty();
		}

	}

}
