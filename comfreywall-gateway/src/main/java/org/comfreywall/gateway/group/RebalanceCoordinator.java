package org.comfreywall.gateway.group;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.gateway.config.EngineShape;

/**
 * Decides when to move the experts of one group, and coordinates the switch.
 * <p>
 * A plan is carried out only if it lowers the skew (the load imbalance,
 * {@link ExpertLayout}) by enough, as ranks copy experts in each switch and passes are
 * slow while they do.
 */
public final class RebalanceCoordinator {

	private static final EventLog LOG = EventLog.of(RebalanceCoordinator.class);

	/**
	 * Minimum estimated time by which a plan must shorten a pass; a small share of a
	 * usual latency objective.
	 */
	private static final double MIN_SAVED_NANOS_PER_PASS = 5_000_000;

	/**
	 * A nearly idle group is planned as if each rank had this many requests: after an
	 * outage, callers return before ranks can copy experts.
	 */
	private static final int MIN_REQUESTS_PER_RANK = 2;

	/**
	 * Minimum share by which a plan must lower the skew; less is within the error of the
	 * forecast.
	 */
	private static final double MIN_SKEW_REDUCTION = 0.08;

	/** Minimum mean of choices per expert; with fewer the counts are mostly noise. */
	private static final double MIN_CHOICES_PER_EXPERT = 20;

	/**
	 * Minimum share for a plan that is based on one round, which covers few requests.
	 */
	private static final double MIN_SKEW_REDUCTION_FOR_ONE_ROUND = 0.2;

	/**
	 * Maximum time that a rank copies experts in one switch. Passes are slow while ranks
	 * copy, and the next switch can move the remaining experts.
	 */
	private static final long MAX_COPY_NANOS_PER_SWITCH = 250_000_000L;

	private static final long STAY_LOG_INTERVAL_NANOS = 1_000_000_000L;

	private final EngineShape shape;

	private final ExpertLayoutPlanner planner;

	private final MapSwitch mapSwitch = new MapSwitch();

	private ExpertTraffic traffic;

	private long epoch = Long.MIN_VALUE;

	private final PlanSchedule schedule = new PlanSchedule();

	private long shiftCountAtPlan;

	private long outcomeLoggedAt = Long.MIN_VALUE / 2;

	/**
	 * Creates a coordinator.
	 * @param shape the dimensions and cost model of the group's engines
	 */
	public RebalanceCoordinator(EngineShape shape) {
		this.shape = shape;
		this.planner = new ExpertLayoutPlanner(shape.placesPerRank(), shape.newPerSwitch(), maxCopiesPerRank(shape));
		this.traffic = emptyTraffic();
	}

	private static int maxCopiesPerRank(EngineShape shape) {
		long copyNanos = Math.max(1, shape.expertCopy().toNanos());
		return (int) Math.max(1,
				Math.min(shape.layerSets() * shape.newPerSwitch(), MAX_COPY_NANOS_PER_SWITCH / copyNanos));
	}

	private ExpertTraffic emptyTraffic() {
		return new ExpertTraffic(this.shape.layerSets(), this.shape.experts());
	}

	/**
	 * Processes a rank's report.
	 * @param report the report
	 * @param choiceCounts how often its requests chose each expert since its previous
	 * counts, set by set; empty if unknown
	 * @param now the current time in nanoseconds
	 */
	public void addReport(RankReport report, List<Integer> choiceCounts, long now) {
		this.mapSwitch.addReport(report, now);
		if (report.epoch() > this.epoch) {
			// A group that was formed again restarts its pass numbers.
			this.epoch = report.epoch();
			this.traffic = emptyTraffic();
			this.schedule.reset();
			this.shiftCountAtPlan = 0;
		}
		if (report.epoch() == this.epoch) {
			this.traffic.addReport(report.rank(), report.size(), report.step(), choiceCounts, now);
		}
	}

	/**
	 * Processes an engine's answer.
	 * @param order the order
	 * @param answer the answer
	 * @param now the current time in nanoseconds
	 */
	public void handleAnswer(RankOrder order, OrderAnswer answer, long now) {
		this.mapSwitch.handleAnswer(order, answer, now);
	}

	/**
	 * Returns the switch to delegate to a deputy.
	 * @param group the service and group, as {@code service/group}
	 * @return the switch, or empty if there is none to delegate
	 */
	public Optional<DelegatedSwitch> delegatedSwitch(String group) {
		return this.mapSwitch.delegatedSwitch(group);
	}

	/**
	 * Processes the confirmation that a deputy has stored a switch.
	 * @param delegatedSwitch the switch that was confirmed
	 * @param now the current time in nanoseconds
	 */
	public void handleDelegationConfirmed(DelegatedSwitch delegatedSwitch, long now) {
		this.mapSwitch.handleDelegationConfirmed(delegatedSwitch, now);
	}

	/**
	 * Computes a plan if one is due, starts a switch if the plan is worthwhile, and
	 * returns the orders that are due.
	 * @param term the coordinator's term
	 * @param now the current time in nanoseconds
	 * @return the orders
	 */
	public List<RankOrder> tick(long term, long now) {
		boolean planDue = this.schedule.hasNewRounds(this.traffic) && this.mapSwitch.canStart(now)
				&& this.schedule.isDue(this.traffic, this.mapSwitch.slowdowns());
		// The load has shifted while ranks prepare a map that was planned before.
		boolean outdated = this.traffic.shiftCount() > this.shiftCountAtPlan && this.mapSwitch.isPreparing();
		if (planDue || outdated) {
			this.shiftCountAtPlan = this.traffic.shiftCount();
			plan(term, now);
		}
		return this.mapSwitch.tick(now);
	}

	private void plan(long term, long now) {
		TrafficForecast forecast = this.traffic.forecast();
		if (forecast.choicesPerSet() < MIN_CHOICES_PER_EXPERT * this.shape.experts()) {
			return;
		}
		ExpertLayout current = this.mapSwitch.currentLayout(now);
		if (current.sets() != this.shape.layerSets()) {
			return;
		}
		double[] slowdowns = this.mapSwitch.slowdowns();
		this.schedule.recordPlan(this.traffic, slowdowns);
		ExpertDemand demand = new ExpertDemand(forecast.choiceCounts(), slowdowns);
		double skewBefore = current.skew(demand);
		ExpertLayout planned = this.planner.plan(current, demand);
		double skewAfter = planned.skew(demand);
		double minReduction = (forecast.rounds() > 1) ? MIN_SKEW_REDUCTION : MIN_SKEW_REDUCTION_FOR_ONE_ROUND;
		boolean worthwhile = skewAfter < skewBefore * (1 - minReduction)
				&& savedNanosPerPass(skewBefore, skewAfter) > MIN_SAVED_NANOS_PER_PASS;
		logOutcome(worthwhile, skewBefore, skewAfter, forecast, now);
		if (worthwhile) {
			this.mapSwitch.start(planned, term, now);
			this.schedule.reset();
		}
	}

	// Most plans start no switch; these are logged at most once a second.
	private void logOutcome(boolean worthwhile, double skewBefore, double skewAfter, TrafficForecast forecast,
			long now) {
		if (!worthwhile && now - this.outcomeLoggedAt < STAY_LOG_INTERVAL_NANOS) {
			return;
		}
		this.outcomeLoggedAt = now;
		LOG.info("rebalance", Field.of("outcome", worthwhile ? "switch" : "stay"),
				Field.of("skew-before", decimal(skewBefore)), Field.of("skew-after", decimal(skewAfter)),
				Field.of("choices", Math.round(forecast.choicesPerSet())), Field.of("rounds", forecast.rounds()),
				Field.of("drift", decimal(forecast.drift())),
				Field.of("pass-ms", decimal(this.mapSwitch.averagePassNanos() / 1e6)));
	}

	// Estimates the time saved per pass if the skew is lowered. Only the
	// experts' share of the time that grows with the requests depends on the
	// placement of the experts.
	private double savedNanosPerPass(double skewBefore, double skewAfter) {
		double fixedNanos = (double) this.shape.stepBase().toNanos() * this.shape.stride();
		double minEvenNanos = (double) this.shape.stepPerRequest().toNanos() * this.shape.stride()
				* MIN_REQUESTS_PER_RANK;
		double varyingNanos = Math.max(minEvenNanos * skewBefore, this.mapSwitch.averagePassNanos() - fixedNanos);
		return this.shape.expertShare() * varyingNanos * (skewBefore - skewAfter) / skewBefore;
	}

	private static String decimal(double value) {
		return String.format(Locale.ROOT, "%.2f", value);
	}

}
