package org.comfreywall.group.placement;

import java.util.List;
import java.util.Locale;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.Preconditions;

/**
 * Plans the placement of a group's expert copies and the distribution of traffic over
 * them.
 * <p>
 * The price of a plan is {@code skewWeight * skew + moveWeight * gibibytes read}. The
 * local search of each layer starts from the current placement, which keeps the number of
 * reads small, and the cheapest placement found is chosen. Lost copies are restored
 * regardless of the price.
 */
public final class PlacementPlanner {

	private final PlannerSettings settings;

	private final DecisionListener listener;

	private final Invariants invariants;

	/**
	 * Creates a planner.
	 * @param settings the settings
	 * @param listener receives a record of each plan, accepted or refused
	 * @param invariants checks each plan
	 */
	public PlacementPlanner(PlannerSettings settings, DecisionListener listener, Invariants invariants) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.invariants = Preconditions.notNull(invariants, "invariants");
	}

	/**
	 * Plans a placement.
	 * @param request the current placement and the forecast
	 * @return the plan, accepted or refused
	 */
	public PlacementPlan plan(PlanRequest request) {
		Preconditions.notNull(request, "request");
		PlacementPlan plan = check(request, new PlanSearch(this.settings, request).run());
		record(request, plan);
		return plan;
	}

	private PlacementPlan check(PlanRequest request, PlacementPlan plan) {
		if (!plan.isAccepted()) {
			return plan;
		}
		boolean valid = this.invariants.holds(PlacementCheck.isValid(request.shape(), plan.placement()),
				"every-expert-placed", Field.of("group", request.group()));
		boolean cheaper = this.invariants.holds(
				isMandatory(plan) || plan.price().priceAfter() <= plan.price().priceBefore(),
				"plan-not-dearer-than-staying", Field.of("group", request.group()));
		if (valid && cheaper) {
			return plan;
		}
		return new PlacementPlan(PlanReason.INVARIANT, request.current(), List.of(), plan.price());
	}

	private static boolean isMandatory(PlacementPlan plan) {
		return plan.reason() == PlanReason.FIRST_PLAN || plan.reason() == PlanReason.COPIES_LOST;
	}

	private void record(PlanRequest request, PlacementPlan plan) {
		PlanPrice price = plan.price();
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REBALANCE, request.group().toString(),
				plan.isAccepted() ? "accepted" : "refused", Field.of("reason", plan.reason().text()),
				Field.of("cause", request.cause()), Field.of("skew-before", decimal(price.skewBefore())),
				Field.of("skew-forecast", decimal(price.skewForecast())),
				Field.of("skew-bound", decimal(price.skewBound())), Field.of("bytes", price.bytes()),
				Field.of("store-seconds", decimal(price.storeSeconds())),
				Field.of("price-before", decimal(price.priceBefore())),
				Field.of("price-after", decimal(price.priceAfter())),
				Field.of("skew-weight", price.weights().skewWeight()),
				Field.of("move-weight", price.weights().moveWeight())));
	}

	private static String decimal(double value) {
		return String.format(Locale.ROOT, "%.4f", value);
	}

}
