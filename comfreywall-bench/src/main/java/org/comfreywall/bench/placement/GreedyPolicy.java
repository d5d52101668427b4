package org.comfreywall.bench.placement;

import java.util.Arrays;
import java.util.function.UnaryOperator;

import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.placement.EstimatorSettings;
import org.comfreywall.group.placement.GroupShape;
import org.comfreywall.group.placement.Placement;
import org.comfreywall.group.placement.PlacementPlanner;
import org.comfreywall.group.placement.PlanRequest;
import org.comfreywall.group.placement.PlannerSettings;
import org.comfreywall.group.placement.PopularityEstimator;

/**
 * Minimizes the skew in each interval, based on the moving average of the counts and
 * regardless of the bytes to read.
 */
final class GreedyPolicy implements RebalancePolicy {

	private static final PlacementWeights SKEW_ONLY = new PlacementWeights(1, 0);

	private final String name;

	private final UnaryOperator<Placement> startingPlacement;

	private final GroupShape shape;

	private final PopularityEstimator estimator;

	private final PlacementPlanner planner;

	private GreedyPolicy(String name, UnaryOperator<Placement> start, GroupShape shape) {
		this.name = name;
		this.startingPlacement = start;
		this.shape = shape;
		this.estimator = new PopularityEstimator(EstimatorSettings.DEFAULT, shape.layers(), shape.experts());
		this.planner = new PlacementPlanner(PlannerSettings.of(SKEW_ONLY, PlacementMeasurement.STORE_BYTES_PER_SECOND),
				DecisionListener.NONE, new Invariants());
	}

	// Plans changes to the current placement.
	static GreedyPolicy incremental(GroupShape shape) {
		return new GreedyPolicy("greedy", UnaryOperator.identity(), shape);
	}

	// Plans each placement from scratch: the experts with the most traffic get the most
	// copies, and the copy with the most traffic goes to the fastest rank.
	static GreedyPolicy repacking(GroupShape shape) {
		return new GreedyPolicy("repack", (current) -> Placement.empty(shape), shape);
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public void observe(double[][] counts) {
		this.estimator.observe(counts);
	}

	@Override
	public Placement plan(Placement current, double[] speeds) {
		boolean[] changed = new boolean[this.shape.layers()];
		Arrays.fill(changed, true);
		return this.planner
			.plan(new PlanRequest(GroupId.of(this.name), this.shape, this.startingPlacement.apply(current),
					this.estimator.smoothed(), speeds, changed, "interval"))
			.placement();
	}

}
