package org.comfreywall.bench.placement;

import java.util.Arrays;

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
 * Goes to the least skew at every interval, on smoothed counts and from the present
 * placement, whatever it reads.
 */
final class GreedyPolicy implements RebalancePolicy {

	private static final PlacementWeights MOVES_ARE_FREE = new PlacementWeights(1, 0);

	private final GroupShape shape;

	private final PopularityEstimator estimator;

	private final PlacementPlanner planner;

	GreedyPolicy(GroupShape shape) {
		this.shape = shape;
		this.estimator = new PopularityEstimator(EstimatorSettings.DEFAULT, shape.layers(), shape.experts());
		this.planner = new PlacementPlanner(PlannerSettings.of(MOVES_ARE_FREE, PlacementMeasurement.STORE_RATE),
				DecisionListener.NONE, new Invariants());
	}

	@Override
	public String name() {
		return "greedy";
	}

	@Override
	public void observe(double[][] counts) {
		this.estimator.observe(counts);
	}

	@Override
	public Placement plan(Placement present, double[] speeds) {
		boolean[] changed = new boolean[this.shape.layers()];
		Arrays.fill(changed, true);
		return this.planner
			.plan(new PlanRequest(GroupId.of("greedy"), this.shape, present, this.estimator.smoothed(), speeds, changed,
					"interval"))
			.placement();
	}

}
