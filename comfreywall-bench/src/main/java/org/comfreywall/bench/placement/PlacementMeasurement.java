package org.comfreywall.bench.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.config.PlacementPreset;
import org.comfreywall.common.decision.Field;
import org.comfreywall.group.placement.GroupShape;
import org.comfreywall.group.placement.Placement;

/**
 * Measures the skew and the bytes read under several placement policies on the same
 * simulated loads, and the CPU time of one plan.
 */
public final class PlacementMeasurement implements Measurement {

	/** The rate limit of the weight store in bytes per second. */
	static final double STORE_BYTES_PER_SECOND = 256L << 20;

	static final int RANKS = 32;

	static final int EXPERTS = 128;

	private static final int LAYERS = 4;

	private static final int SLOTS_PER_RANK = 6;

	private static final int FAILURE_DOMAINS = 3;

	private static final long EXPERT_BYTES = 42L << 20;

	/** The maximum ratio to the 95th percentile of the skew under the greedy policies. */
	private static final double P95_TOLERANCE = 1.02;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		int intervals = (int) options.steps(DriftRun.INTERVALS_PER_DAY);
		GroupShape shape = shape(LAYERS, SLOTS_PER_RANK);
		for (Drift drift : Drift.values()) {
			measure(options.seed(), drift, shape, intervals, reporter);
		}
		new PlanTime(options.seed()).run(reporter);
	}

	static GroupShape shape(int layers, int slots) {
		int[] slotsOfRanks = new int[RANKS];
		Arrays.fill(slotsOfRanks, slots);
		int[] domains = new int[RANKS];
		Arrays.setAll(domains, (rank) -> rank % FAILURE_DOMAINS);
		return GroupShape.of(layers, EXPERTS, slotsOfRanks, domains, EXPERT_BYTES);
	}

	private void measure(long seed, Drift drift, GroupShape shape, int intervals, Reporter reporter) {
		Placement first = firstPlacement(seed, drift, shape);
		List<PolicyRun> runs = new ArrayList<>();
		for (RebalancePolicy policy : policies(shape)) {
			PolicyRun run = new PolicyRun(shape, policy, intervals, seed);
			run.run(new DriftRun(seed, drift, shape), first);
			run.report(reporter, drift);
			runs.add(run);
		}
		reportTargets(drift, runs, reporter);
	}

	private static List<RebalancePolicy> policies(GroupShape shape) {
		return List.of(new NeverPolicy(), GreedyPolicy.repacking(shape), GreedyPolicy.incremental(shape),
				new PricedPolicy("plume", PlacementPreset.PLUME.weights(), shape),
				new PricedPolicy("popelar", PlacementPreset.POPELAR.weights(), shape));
	}

	private static Placement firstPlacement(long seed, Drift drift, GroupShape shape) {
		PricedPolicy policy = new PricedPolicy("first", PlacementPreset.PLUME.weights(), shape);
		DriftRun run = new DriftRun(seed, drift, shape);
		for (int interval = 0; interval < PolicyRun.WARM_UP_INTERVALS; interval++) {
			policy.observe(run.nextCounts());
		}
		return policy.plan(Placement.empty(shape), run.speeds());
	}

	private static void reportTargets(Drift drift, List<PolicyRun> runs, Reporter reporter) {
		PolicyRun never = runs.get(0);
		PolicyRun repack = runs.get(1);
		PolicyRun greedy = runs.get(2);
		PolicyRun plume = runs.get(3);
		PolicyRun popelar = runs.get(4);
		String prefix = drift.label() + "-";
		reporter.atMost(prefix + "plume-skew-p95", plume.p95Skew(), greedy.p95Skew() * P95_TOLERANCE);
		reporter.atMost(prefix + "plume-skew-p95-of-repack", plume.p95Skew(), repack.p95Skew() * P95_TOLERANCE);
		if (drift == Drift.NOISE) {
			reporter.atMost(prefix + "plume-moved-gib", plume.movedGibibytes(), 0);
			reporter.atMost(prefix + "popelar-moved-gib", popelar.movedGibibytes(), 0);
			return;
		}
		reporter.atMost(prefix + "plume-moved-gib", plume.movedGibibytes(), greedy.movedGibibytes() / 2);
		reporter.atMost(prefix + "popelar-moved-gib", popelar.movedGibibytes(), greedy.movedGibibytes() / 10);
		reporter.atLeast(prefix + "popelar-skew-gain", never.meanSkew() - popelar.meanSkew(),
				(never.meanSkew() - greedy.meanSkew()) * 2 / 3);
		reporter.result("placement-share", Field.of("drift", drift.label()),
				Field.of("plume-bytes-of-greedy", plume.movedGibibytes() / greedy.movedGibibytes()),
				Field.of("popelar-bytes-of-greedy", popelar.movedGibibytes() / greedy.movedGibibytes()),
				Field.of("popelar-gain-of-greedy",
						(never.meanSkew() - popelar.meanSkew()) / (never.meanSkew() - greedy.meanSkew())));
	}

}
