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
 * Goes to the least skew at every interval on smoothed counts, whatever it reads.
 */
final class GreedyPolicy implements RebalancePolicy {

	private static final PlacementWeights MOVES_ARE_FREE = new PlacementWeights(1, 0);

	private final String name;

	private final UnaryOperator<Placement> start;

	private final GroupShape shape;

	private final PopularityEstimator estimator;

	private final PlacementPlanner planner;

	private GreedyPolicy(String name, UnaryOperator<Placement> start, GroupShape shape) {
		this.name = name;
		this.start = start;
		this.shape = shape;
		this.estimator = new PopularityEstimator(EstimatorSettings.DEFAULT, shape.layers(), shape.experts());
		this.planner = new PlacementPlanner(PlannerSettings.of(MOVES_ARE_FREE, PlacementMeasurement.STORE_RATE),
				DecisionListener.NONE, new Invariants());
	}

	// Improves the present placement.
	static GreedyPolicy incremental(GroupShape shape) {
		return new GreedyPolicy("greedy", UnaryOperator.identity(), shape);
	}

	// Packs all experts anew: hottest replicated most, heaviest copy to the fastest rank.
	static GreedyPolicy repacking(GroupShape shape) {
		return new GreedyPolicy("repack", (present) -> Placement.empty(shape), shape);
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
	public Placement plan(Placement present, double[] speeds) {
		boolean[] changed = new boolean[this.shape.layers()];
		Arrays.fill(changed, true);
		return this.planner
			.plan(new PlanRequest(GroupId.of(this.name), this.shape, this.start.apply(present),
					this.estimator.smoothed(), speeds, changed, "interval"))
			.placement();
	}

}
