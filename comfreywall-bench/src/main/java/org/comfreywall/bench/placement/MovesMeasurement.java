package org.comfreywall.bench.placement;

import java.util.Arrays;
import java.util.Random;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.config.PlacementPreset;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.moves.MovePlan;
import org.comfreywall.group.moves.PlanId;
import org.comfreywall.group.placement.GroupShape;
import org.comfreywall.group.placement.Placement;
import org.comfreywall.group.placement.PlacementPlan;
import org.comfreywall.group.placement.PlacementPlanner;
import org.comfreywall.group.placement.PlanRequest;
import org.comfreywall.group.placement.PlannerSettings;

/**
 * Measures how long the moves of two groups take that share the rate limit of one weight
 * store, with and without a crash of the coordinator.
 */
public final class MovesMeasurement implements Measurement {

	private static final int LAYERS = 4;

	private static final int SLOTS_PER_RANK = 6;

	private static final double CHANGE_DEVIATION = 0.5;

	/** The maximum ratio of the elapsed time to the time at the full store rate. */
	private static final double STORE_TIME_TOLERANCE = 1.05;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		Random random = new Random(options.seed());
		MovePlan left = plan(random, "left");
		MovePlan right = plan(random, "right");
		measure("undisturbed", MoveRun.NO_CRASH, left, right, reporter);
		measure("crash", (left.moves().size() + right.moves().size()) / 2, left, right, reporter);
	}

	private static void measure(String name, int crashAfter, MovePlan left, MovePlan right, Reporter reporter) {
		MoveRun run = new MoveRun(crashAfter);
		run.run(left, right);
		double storeSeconds = run.readBytes() / PlacementMeasurement.STORE_BYTES_PER_SECOND;
		reporter.result("moves", Field.of("run", name), Field.of("moves", left.moves().size() + right.moves().size()),
				Field.of("reads", run.readCount()), Field.of("mib", run.readBytes() >> 20),
				Field.of("seconds", run.elapsedSeconds()), Field.of("store-seconds", storeSeconds));
		reporter.atMost(name + "-plans-unfinished", run.unfinishedPlans(), 0);
		reporter.atMost(name + "-windows-above-rate", run.windowsAboveRate(), 0);
		reporter.atMost(name + "-reads-out-of-order", run.readsOutOfOrder(), 0);
		reporter.atMost(name + "-seconds", run.elapsedSeconds(), storeSeconds * STORE_TIME_TOLERANCE);
	}

	private static MovePlan plan(Random random, String group) {
		GroupShape shape = PlacementMeasurement.shape(LAYERS, SLOTS_PER_RANK);
		PlacementPlanner planner = new PlacementPlanner(
				PlannerSettings.of(PlacementPreset.PLUME.weights(), PlacementMeasurement.STORE_BYTES_PER_SECOND),
				DecisionListener.NONE, new Invariants());
		double[][] popularity = new double[LAYERS][PlacementMeasurement.EXPERTS];
		changePopularity(random, popularity, true);
		Placement first = plan(planner, group, shape, Placement.empty(shape), popularity).placement();
		changePopularity(random, popularity, false);
		return new MovePlan(new PlanId(GroupId.of(group), 1), plan(planner, group, shape, first, popularity).moves());
	}

	private static PlacementPlan plan(PlacementPlanner planner, String group, GroupShape shape, Placement current,
			double[][] popularity) {
		double[] speeds = new double[shape.ranks()];
		Arrays.fill(speeds, 1);
		boolean[] changed = new boolean[shape.layers()];
		Arrays.fill(changed, true);
		return planner
			.plan(new PlanRequest(GroupId.of(group), shape, current, popularity, speeds, changed, "measurement"));
	}

	private static void changePopularity(Random random, double[][] popularity, boolean first) {
		for (double[] layer : popularity) {
			Arrays.setAll(layer, (expert) -> first ? Math.exp(random.nextGaussian())
					: layer[expert] * Math.exp(CHANGE_DEVIATION * random.nextGaussian()));
		}
	}

}
