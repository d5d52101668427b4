package org.comfreywall.bench.placement;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.Random;

import org.comfreywall.bench.Reporter;
import org.comfreywall.common.config.PlacementPreset;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.placement.GroupShape;
import org.comfreywall.group.placement.Placement;
import org.comfreywall.group.placement.PlacementPlan;
import org.comfreywall.group.placement.PlacementPlanner;
import org.comfreywall.group.placement.PlanRequest;
import org.comfreywall.group.placement.PlannerSettings;

/**
 * Measures the CPU time that one thread takes to plan the placement of a full-sized
 * group.
 */
final class PlanTime {

	private static final int LAYERS = 58;

	private static final int SLOTS_PER_RANK = 6;

	private static final int ROUNDS = 5;

	private static final double CHANGE_DEVIATION = 0.3;

	private static final double MAX_PLAN_SECONDS = 1;

	private static final double SECOND_NANOS = 1e9;

	private final Random random;

	private final GroupShape shape = PlacementMeasurement.shape(LAYERS, SLOTS_PER_RANK);

	private final PlacementPlanner planner = new PlacementPlanner(
			PlannerSettings.of(PlacementPreset.PLUME.weights(), PlacementMeasurement.STORE_BYTES_PER_SECOND),
			DecisionListener.NONE, new Invariants());

	private double firstPlanSeconds;

	private double nextPlanSeconds;

	PlanTime(long seed) {
		this.random = new Random(seed);
	}

	void run(Reporter reporter) {
		double[][] popularity = new double[this.shape.layers()][this.shape.experts()];
		Arrays.stream(popularity).forEach((layer) -> Arrays.setAll(layer, (expert) -> drawFactor(1)));
		for (int round = 0; round < ROUNDS; round++) {
			measureRound(popularity);
		}
		reporter.result("plan-time", Field.of("layers", LAYERS), Field.of("first-plan-cpu-s", this.firstPlanSeconds),
				Field.of("next-plan-cpu-s", this.nextPlanSeconds));
		reporter.atMost("first-plan-cpu-s", this.firstPlanSeconds, MAX_PLAN_SECONDS);
		reporter.atMost("next-plan-cpu-s", this.nextPlanSeconds, MAX_PLAN_SECONDS);
	}

	// Overwrites the times of earlier rounds, as only the last round runs fully compiled
	// code.
	private void measureRound(double[][] popularity) {
		long start = cpuNanos();
		PlacementPlan first = plan(Placement.empty(this.shape), popularity);
		this.firstPlanSeconds = (cpuNanos() - start) / SECOND_NANOS;
		Arrays.stream(popularity)
			.forEach((layer) -> Arrays.setAll(layer, (expert) -> layer[expert] * drawFactor(CHANGE_DEVIATION)));
		start = cpuNanos();
		plan(first.placement(), popularity);
		this.nextPlanSeconds = (cpuNanos() - start) / SECOND_NANOS;
	}

	private PlacementPlan plan(Placement current, double[][] popularity) {
		double[] speeds = new double[this.shape.ranks()];
		Arrays.fill(speeds, 1);
		boolean[] changed = new boolean[this.shape.layers()];
		Arrays.fill(changed, true);
		return this.planner
			.plan(new PlanRequest(GroupId.of("g"), this.shape, current, popularity, speeds, changed, "measurement"));
	}

	private double drawFactor(double deviation) {
		return Math.exp(deviation * this.random.nextGaussian());
	}

	private static long cpuNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

}
