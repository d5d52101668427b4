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
 * Measures the processor time of one plan of a full-sized group, which one thread makes.
 */
final class PlanTime {

	private static final int LAYERS = 58;

	private static final int SLOTS = 6;

	private static final int ROUNDS = 5;

	private static final double CHANGE_DEVIATION = 0.3;

	private static final double LONGEST_PLAN_SECONDS = 1;

	private static final double SECOND_NANOS = 1e9;

	private final Random random;

	private final GroupShape shape = PlacementMeasurement.shape(LAYERS, SLOTS);

	private final PlacementPlanner planner = new PlacementPlanner(
			PlannerSettings.of(PlacementPreset.PLUME.weights(), PlacementMeasurement.STORE_RATE), DecisionListener.NONE,
			new Invariants());

	private double firstSeconds;

	private double nextSeconds;

	PlanTime(long seed) {
		this.random = new Random(seed);
	}

	void run(Reporter reporter) {
		double[][] popularity = new double[this.shape.layers()][this.shape.experts()];
		Arrays.stream(popularity).forEach((layer) -> Arrays.setAll(layer, (expert) -> draw(1)));
		for (int round = 0; round < ROUNDS; round++) {
			plan(popularity);
		}
		reporter.result("plan-time", Field.of("layers", LAYERS), Field.of("first-plan-cpu-s", this.firstSeconds),
				Field.of("next-plan-cpu-s", this.nextSeconds));
		reporter.atMost("first-plan-cpu-s", this.firstSeconds, LONGEST_PLAN_SECONDS);
		reporter.atMost("next-plan-cpu-s", this.nextSeconds, LONGEST_PLAN_SECONDS);
	}

	// Keeps the times of the last round, when the code is compiled.
	private void plan(double[][] popularity) {
		long start = cpuNanos();
		PlacementPlan first = plan(Placement.empty(this.shape), popularity);
		this.firstSeconds = (cpuNanos() - start) / SECOND_NANOS;
		Arrays.stream(popularity)
			.forEach((layer) -> Arrays.setAll(layer, (expert) -> layer[expert] * draw(CHANGE_DEVIATION)));
		start = cpuNanos();
		plan(first.placement(), popularity);
		this.nextSeconds = (cpuNanos() - start) / SECOND_NANOS;
	}

	private PlacementPlan plan(Placement present, double[][] popularity) {
		double[] speeds = new double[this.shape.ranks()];
		Arrays.fill(speeds, 1);
		boolean[] changed = new boolean[this.shape.layers()];
		Arrays.fill(changed, true);
		return this.planner
			.plan(new PlanRequest(GroupId.of("g"), this.shape, present, popularity, speeds, changed, "measurement"));
	}

	private double draw(double deviation) {
		return Math.exp(deviation * this.random.nextGaussian());
	}

	private static long cpuNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

}
