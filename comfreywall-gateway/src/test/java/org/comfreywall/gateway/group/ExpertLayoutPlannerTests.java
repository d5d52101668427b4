package org.comfreywall.gateway.group;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ExpertLayoutPlanner}.
 */
class ExpertLayoutPlannerTests {

	private static final int RANKS = 16;

	private static final int EXPERTS = 64;

	private static final int SETS = 4;

	private static final int PLACES = 5;

	private static final int NEW_PER_SET = 2;

	private final ExpertLayoutPlanner planner = new ExpertLayoutPlanner(PLACES, NEW_PER_SET, SETS * NEW_PER_SET);

	private static ExpertDemand skewedDemand(long seed) {
		Random random = new Random(seed);
		double[][] traffic = new double[SETS][EXPERTS];
		for (double[] set : traffic) {
			for (int expert = 0; expert < EXPERTS; expert++) {
				set[expert] = Math.pow(random.nextDouble(), 6) * 1000 + 10;
			}
		}
		return ExpertDemand.onHealthyRanks(traffic, RANKS);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aPlanRespectsTheLimitsOfTheEngines(long seed) {
		ExpertLayout current = ExpertLayout.roundRobin(SETS, EXPERTS, RANKS);
		for (int shift = 0; shift < 4; shift++) {
			ExpertLayout planned = this.planner.plan(current, skewedDemand(seed * 10 + shift));
			for (int set = 0; set < SETS; set++) {
				Set<Integer> placed = new HashSet<>();
				for (int rank = 0; rank < RANKS; rank++) {
					List<Integer> held = planned.experts().get(set).get(rank);
					List<Integer> had = current.experts().get(set).get(rank);
					placed.addAll(held);
					assertThat(held).doesNotHaveDuplicates().hasSizeLessThanOrEqualTo(PLACES);
					assertThat(held.stream().filter((expert) -> !had.contains(expert)).count())
						.isLessThanOrEqualTo(NEW_PER_SET);
				}
				assertThat(placed).hasSize(EXPERTS);
			}
			current = planned;
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void oneSwitchLowersTheSkewByAtLeastAThird(long seed) {
		ExpertLayout current = ExpertLayout.roundRobin(SETS, EXPERTS, RANKS);
		ExpertDemand demand = skewedDemand(seed);
		double before = current.skew(demand);
		double after = this.planner.plan(current, demand).skew(demand);
		assertThat(after - 1).isLessThan((before - 1) * 2 / 3);
	}

	/**
	 * Shifts of a Zipf-distributed load: a few experts get a large share of the choices,
	 * and most of them swap popularity with others from one pass to the next.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void twoCopiesPerRankRemoveMostOfTheSkewAfterAShift(long seed) {
		ExpertLayoutPlanner quick = new ExpertLayoutPlanner(PLACES, NEW_PER_SET, 2);
		ZipfTraffic zipf = new ZipfTraffic(SETS, EXPERTS, 1.1, new Random(seed));
		ExpertLayout current = ExpertLayout.roundRobin(SETS, EXPERTS, RANKS);
		for (int shift = 0; shift < 6; shift++) {
			ExpertDemand demand = ExpertDemand.onHealthyRanks(zipf.traffic(), RANKS);
			double before = current.skew(demand);
			ExpertLayout planned = quick.plan(current, demand);
			assertThat(maxCopiesPerRank(current, planned)).isLessThanOrEqualTo(2);
			assertThat(planned.skew(demand) - 1).isLessThan((before - 1) / 3);
			current = quick.plan(planned, demand);
			zipf.shift(0.62);
		}
	}

	/**
	 * Guards against a planner that stops too early on a large group, where many ranks
	 * are near the highest load and each move lowers the cost by a small share. No rank
	 * may have 25 % more than the mean.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void oneSwitchBalancesALargeGroupAfterAShift(long seed) {
		int ranks = 72;
		ExpertLayoutPlanner large = new ExpertLayoutPlanner(3, NEW_PER_SET, 15);
		ZipfTraffic zipf = new ZipfTraffic(12, 144, 0.54, new Random(seed));
		ExpertLayout current = ExpertLayout.roundRobin(12, 144, ranks);
		for (int shift = 0; shift < 4; shift++) {
			ExpertDemand demand = ExpertDemand.onHealthyRanks(zipf.traffic(), ranks);
			ExpertLayout planned = large.plan(current, demand);
			assertThat(maxCopiesPerRank(current, planned)).isLessThanOrEqualTo(15);
			assertThat(planned.skew(demand)).isLessThan(1.25);
			current = planned;
			zipf.shift(0.62);
		}
	}

	private static int maxCopiesPerRank(ExpertLayout current, ExpertLayout planned) {
		int most = 0;
		for (int rank = 0; rank < current.ranks(); rank++) {
			int copies = 0;
			for (int set = 0; set < current.sets(); set++) {
				Set<Integer> copied = new HashSet<>(planned.experts().get(set).get(rank));
				copied.removeAll(current.experts().get(set).get(rank));
				copies += copied.size();
			}
			most = Math.max(most, copies);
		}
		return most;
	}

	@Test
	void evenTrafficMovesNothing() {
		ExpertLayout current = ExpertLayout.roundRobin(SETS, EXPERTS, RANKS);
		double[][] even = new double[SETS][EXPERTS];
		for (double[] set : even) {
			Arrays.fill(set, 5);
		}
		ExpertDemand demand = ExpertDemand.onHealthyRanks(even, RANKS);
		assertThat(current.skew(demand)).isEqualTo(1);
		assertThat(this.planner.plan(current, demand)).isEqualTo(current);
	}

	/**
	 * A rank with a slowdown of almost three may make passes at most 50 % longer than the
	 * mean of healthy ranks.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void aSlowRankGetsLessLoad(long seed) {
		ExpertLayoutPlanner quick = new ExpertLayoutPlanner(PLACES, NEW_PER_SET, 2);
		ZipfTraffic zipf = new ZipfTraffic(SETS, EXPERTS, 1.1, new Random(seed));
		double[] slowdown = new double[RANKS];
		Arrays.fill(slowdown, 1);
		slowdown[5] = 2.88;
		ExpertDemand demand = new ExpertDemand(zipf.traffic(), slowdown);
		ExpertLayout current = ExpertLayout.roundRobin(SETS, EXPERTS, RANKS);
		for (int round = 0; round < 3; round++) {
			current = quick.plan(current, demand);
		}
		assertThat(current.skew(demand)).isLessThan(1.5);
	}

}
