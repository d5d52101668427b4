package org.comfreywall.group.straggler;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.id.GroupId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StragglerDetector}.
 */
class StragglerDetectorTests {

	private static final int RANKS = 32;

	private static final int SLOW_RANK = 7;

	private final Random random = new Random(1);

	private final DecisionHistory history = new DecisionHistory(100);

	private final StragglerDetector detector = new StragglerDetector(GroupId.of("g"), RANKS, StragglerSettings.DEFAULT,
			this.history);

	private final List<StragglerCommand> commands = new ArrayList<>();

	@Test
	void ignoresNoise() {
		run(2000, 1, 1, true);
		assertThat(this.commands).isEmpty();
	}

	@Test
	void ignoresASingleSlowWindow() {
		run(1, 0.5, 1, true);
		run(20, 1, 1, true);
		assertThat(this.commands).isEmpty();
	}

	@Test
	void aRankThatIsSlowForItsLoadShedsExperts() {
		run(3, 0.6, 1, true);
		assertThat(this.commands).singleElement().isInstanceOf(StragglerCommand.ShedExperts.class);
		assertThat(this.detector.condition(SLOW_RANK)).isEqualTo(RankCondition.SLOW_HARDWARE);
		assertThat(this.detector.speeds()[SLOW_RANK]).isBetween(0.55, 0.65);
		assertThat(this.history.findBySubject("g")).hasSize(1);
	}

	@Test
	void aRankWithMoreLoadCausesANewPlacement() {
		run(20, 1, 1.5, true);
		assertThat(this.commands).containsExactly(new StragglerCommand.PlanPlacement(SLOW_RANK));
		assertThat(this.detector.condition(SLOW_RANK)).isEqualTo(RankCondition.HOT_EXPERT);
	}

	@Test
	void withUnknownLoadARankThatStaysSlowAfterANewPlacementHasSlowHardware() {
		run(12, 0.6, 1, false);
		assertThat(this.commands).containsExactly(new StragglerCommand.PlanPlacement(SLOW_RANK));
		run(12, 0.6, 1, false);
		assertThat(this.commands).last().isInstanceOf(StragglerCommand.ShedExperts.class);
	}

	@Test
	void aUniformlySlowGroupHasNoStraggler() {
		double[] busy = new double[RANKS];
		Arrays.fill(busy, 5e7);
		for (int window = 0; window < 10; window++) {
			this.commands.addAll(this.detector.observe(StepTimes.of(busy)));
		}
		assertThat(this.commands).isEmpty();
	}

	private void run(int windows, double speed, double load, boolean loadKnown) {
		for (int window = 0; window < windows; window++) {
			double[] busy = new double[RANKS];
			double[] loads = new double[RANKS];
			for (int rank = 0; rank < RANKS; rank++) {
				loads[rank] = (rank == SLOW_RANK) ? load : 1;
				double time = loads[rank] / ((rank == SLOW_RANK) ? speed : 1);
				busy[rank] = 2e7 * time * (1 + 0.03 * this.random.nextGaussian());
			}
			this.commands.addAll(this.detector.observe(new StepTimes(busy, loadKnown ? loads : new double[0])));
		}
	}

	@Nested
	class AfterSheddingExperts {

		@Test
		void aRankThatStaysSlowIsReplacedOnce() {
			run(3, 0.6, 1, true);
			run(60, 0.6, 0.6, true);
			assertThat(StragglerDetectorTests.this.commands).filteredOn(StragglerCommand.ReplaceRank.class::isInstance)
				.hasSize(1);
			StragglerDetectorTests.this.detector.resetRank(SLOW_RANK);
			assertThat(StragglerDetectorTests.this.detector.condition(SLOW_RANK)).isEqualTo(RankCondition.HEALTHY);
		}

		@Test
		void aRankThatRecoversIsRestored() {
			run(3, 0.6, 1, true);
			run(12, 1, 0.6, true);
			assertThat(StragglerDetectorTests.this.commands).last()
				.isEqualTo(new StragglerCommand.RestoreRank(SLOW_RANK));
			assertThat(StragglerDetectorTests.this.detector.speeds()[SLOW_RANK]).isEqualTo(1);
		}

		@Test
		void flappingIsDamped() {
			for (int cycle = 0; cycle < 40; cycle++) {
				run(4, 0.6, 1, true);
				run(10, 1, 1, true);
			}
			assertThat(StragglerDetectorTests.this.commands).filteredOn(StragglerCommand.RestoreRank.class::isInstance)
				.hasSizeLessThan(4);
		}

	}

}
