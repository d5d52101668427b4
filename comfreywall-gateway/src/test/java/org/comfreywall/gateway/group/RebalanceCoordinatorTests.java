package org.comfreywall.gateway.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.comfreywall.gateway.config.EngineShape;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RebalanceCoordinator}, on four ranks that hold two experts each.
 */
class RebalanceCoordinatorTests {

	private static final long MILLI = 1_000_000;

	private static final int RANKS = 4;

	private static final int EXPERTS = 8;

	private final RebalanceCoordinator coordinator = new RebalanceCoordinator(new EngineShape(1, EXPERTS, 3, 2, 0.85,
			Duration.ofMillis(5), Duration.ofNanos(500_000), 6, Duration.ofMillis(111)));

	private int plans;

	// Adds reports in which one expert is chosen the given times as often as the others,
	// and counts the orders to prepare a map.
	private void simulate(int popular, int times, long passMillis, boolean open, long millis) {
		List<Integer> chosen = choices(popular, times);
		for (long now = MILLI; now < millis * MILLI; now += 20 * MILLI) {
			if (now % (100 * MILLI) < 20 * MILLI) {
				for (int rank = 0; rank < RANKS; rank++) {
					this.coordinator.addReport(report(rank, now / (passMillis * MILLI), open), chosen, now);
				}
			}
			for (RankOrder order : this.coordinator.tick(1, now)) {
				this.plans += (order.order() instanceof PrepareMap) ? 1 : 0;
			}
		}
	}

	private static RankReport report(int rank, long step, boolean open) {
		return new RankReport("s" + rank, "g", 1, rank, RANKS, open, step, 0, 0, 0, OptionalLong.empty(),
				List.of(List.of(rank, rank + RANKS)), 1);
	}

	@Test
	void movesExpertsIfOneRankIsOverloaded() {
		simulate(3, 12, 100, true, 2_000);
		assertThat(this.plans).isPositive();
	}

	@Test
	void keepsExpertsIfPassesAreShortUnderLoad() {
		simulate(3, 3, 32, true, 2_000);
		assertThat(this.plans).isZero();
	}

	@Test
	void movesExpertsIfPassesAreShortOnlyBecauseTheGroupIsIdle() {
		simulate(3, 12, 32, true, 2_000);
		assertThat(this.plans).isPositive();
	}

	@Test
	void keepsExpertsIfTheLoadIsBalanced() {
		simulate(3, 1, 100, true, 2_000);
		assertThat(this.plans).isZero();
	}

	@Test
	void sendsNoOrdersToAGroupThatRunsNoPasses() {
		simulate(3, 12, 100, false, 2_000);
		assertThat(this.plans).isZero();
	}

	/**
	 * Guards against keeping an outdated plan: the pass during a shift mixes the old and
	 * the new load, so its plan must be replaced while ranks are still copying.
	 */
	@Test
	void aPlanForAPassDuringAShiftIsReplacedByTheNext() {
		Set<Long> versions = new TreeSet<>();
		List<Integer> mixed = new ArrayList<>(choices(0, 40));
		for (int expert = 0; expert < EXPERTS; expert++) {
			mixed.set(expert, mixed.get(expert) + choices(7, 40).get(expert));
		}
		for (int step = 1; step < 16; step++) {
			List<Integer> chosen = (step < 10) ? choices(0, 1) : choices(7, 40);
			long now = step * 100 * MILLI;
			for (int rank = 0; rank < RANKS; rank++) {
				this.coordinator.addReport(report(rank, step, true), (step == 10) ? mixed : chosen, now);
			}
			for (RankOrder order : this.coordinator.tick(1, now)) {
				if (order.order() instanceof PrepareMap prepare) {
					versions.add(prepare.version());
				}
			}
		}
		assertThat(versions).hasSize(2);
	}

	private static List<Integer> choices(int popular, int times) {
		List<Integer> chosen = new ArrayList<>();
		for (int expert = 0; expert < EXPERTS; expert++) {
			chosen.add((expert == popular) ? 1000 * times : 1000);
		}
		return chosen;
	}

}
