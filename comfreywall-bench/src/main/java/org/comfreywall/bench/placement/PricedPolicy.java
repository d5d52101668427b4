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
 * Minimizes the weighted cost of skew and of bytes to read, based on forecast popularity.
 * The planner moves experts only in layers whose forecast changed beyond noise, or in all
 * layers if the speed of a rank changed.
 */
final class PricedPolicy implements RebalancePolicy {

	private final String name;

	private final GroupShape shape;

	private final PopularityEstimator estimator;

	private final PlacementPlanner planner;

	private double[] plannedSpeeds;

	PricedPolicy(String name, PlacementWeights weights, GroupShape shape) {
		this.name = name;
		this.shape = shape;
		this.estimator = new PopularityEstimator(EstimatorSettings.DEFAULT, shape.layers(), shape.experts());
		this.planner = new PlacementPlanner(PlannerSettings.of(weights, PlacementMeasurement.STORE_BYTES_PER_SECOND),
				DecisionListener.NONE, new Invariants());
		this.plannedSpeeds = new double[shape.ranks()];
		Arrays.fill(this.plannedSpeeds, 1);
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
		boolean[] changed = this.estimator.pollChanges();
		if (!Arrays.equals(speeds, this.plannedSpeeds)) {
			Arrays.fill(changed, true);
			this.plannedSpeeds = speeds;
		}
		return this.planner
			.plan(new PlanRequest(GroupId.of(this.name), this.shape, current, this.estimator.forecast(), speeds,
					changed, "interval"))
			.placement();
	}

}
