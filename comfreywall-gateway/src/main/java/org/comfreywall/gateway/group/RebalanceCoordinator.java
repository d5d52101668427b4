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
 * A plan is carried out only if it lowers the skew by enough, as each switch copies
 * experts and slows passes while they are copied.
 */
public final class RebalanceCoordinator {

	private static final EventLog LOG = EventLog.of(RebalanceCoordinator.class);

	/**
	 * A plan must shorten a pass by at least this much, a small share of a usual latency
	 * objective.
	 */
	private static final double MIN_SAVING_NANOS = 5_000_000;

	/**
	 * A nearly idle group is planned as if each rank had this many requests: after an
	 * outage, callers return before ranks can copy experts.
	 */
	private static final int MIN_REQUESTS = 2;

	/**
	 * A plan must lower the skew by at least this share; less is within the error of the
	 * forecast.
	 */
	private static final double MIN_GAIN = 0.08;

	/** Least choices per expert; with fewer the counts are mostly noise. */
	private static final double MIN_CHOICES_PER_EXPERT = 20;

	/** The least gain of a plan that rests on one round, which holds few requests. */
	private static final double MIN_GAIN_OF_ONE_ROUND = 0.2;

	/**
	 * The longest time that a rank copies in one switch: passes are slow while ranks
	 * copy, and the next switch can move the remaining experts.
	 */
	private static final long MAX_COPY_NANOS = 250_000_000L;

	private static final long STAY_LOG_INTERVAL_NANOS = 1_000_000_000L;

	private final EngineShape shape;

	private final ExpertLayoutPlanner planner;

	private final MapSwitch mapSwitch = new MapSwitch();

	private ExpertTraffic traffic;

	private long epoch = Long.MIN_VALUE;

	private final PlanSchedule schedule = new PlanSchedule();

	private long shiftsPlanned;

	private long stayLoggedAt = Long.MIN_VALUE / 2;

	/**
	 * Creates a coordinator.
	 * @param shape the engines' shape
	 */
	public RebalanceCoordinator(EngineShape shape) {
		this.shape = shape;
		this.planner = new ExpertLayoutPlanner(shape.placesPerRank(), shape.newPerSwitch(), newPerRank(shape));
		this.traffic = emptyTraffic();
	}

	private static int newPerRank(EngineShape shape) {
		long copyNanos = Math.max(1, shape.expertCopy().toNanos());
		return (int) Math.max(1, Math.min(shape.layerSets() * shape.newPerSwitch(), MAX_COPY_NANOS / copyNanos));
	}

	private ExpertTraffic emptyTraffic() {
		return new ExpertTraffic(this.shape.layerSets(), this.shape.experts());
	}

	/**
	 * Processes a rank's report.
	 * @param report the report
	 * @param chosen how often its requests chose each expert since its previous report,
	 * set by set
	 * @param now the present time in nanoseconds
	 */
	public void addReport(RankReport report, List<Integer> chosen, long now) {
		this.mapSwitch.addReport(report, now);
		if (report.epoch() > this.epoch) {
			// A group that was formed again restarts its pass numbers.
			this.epoch = report.epoch();
			this.traffic = emptyTraffic();
			this.schedule.reset();
			this.shiftsPlanned = 0;
		}
		if (report.epoch() == this.epoch) {
			this.traffic.add(report.rank(), report.size(), report.step(), chosen, now);
		}
	}

	/**
	 * Processes an engine's answer.
	 * @param order the order
	 * @param answer the answer
	 * @param now the present time in nanoseconds
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
	 * Records that a deputy has stored a switch.
	 * @param delegatedSwitch the switch
	 * @param now the present time in nanoseconds
	 */
	public void delegationConfirmed(DelegatedSwitch delegatedSwitch, long now) {
		this.mapSwitch.delegationConfirmed(delegatedSwitch, now);
	}

	/**
	 * Plans a switch if one is due, and returns the orders that are due.
	 * @param term the coordinator's term
	 * @param now the present time in nanoseconds
	 * @return the orders
	 */
	public List<RankOrder> tick(long term, long now) {
		boolean newRounds = this.schedule.hasNewRounds(this.traffic) && this.mapSwitch.canStart(now)
				&& this.schedule.isDue(this.traffic, this.mapSwitch.slowdowns());
		boolean outdated = this.traffic.shiftCount() > this.shiftsPlanned && this.mapSwitch.isPreparing();
		if (newRounds || outdated) {
			this.shiftsPlanned = this.traffic.shiftCount();
			plan(term, now);
		}
		return this.mapSwitch.tick(now);
	}

	private void plan(long term, long now) {
		TrafficForecast forecast = this.traffic.forecast();
		if (forecast.total() < MIN_CHOICES_PER_EXPERT * this.shape.experts()) {
			return;
		}
		ExpertLayout present = this.mapSwitch.currentLayout(now);
		if (present.sets() != this.shape.layerSets()) {
			return;
		}
		double[] slowdowns = this.mapSwitch.slowdowns();
		this.schedule.recordPlan(this.traffic, slowdowns);
		ExpertDemand demand = new ExpertDemand(forecast.chosen(), slowdowns);
		double before = present.skew(demand);
		ExpertLayout planned = this.planner.plan(present, demand);
		double after = planned.skew(demand);
		double gain = (forecast.rounds() > 1) ? MIN_GAIN : MIN_GAIN_OF_ONE_ROUND;
		boolean worthwhile = after < before * (1 - gain) && saving(before, after) > MIN_SAVING_NANOS;
		log(worthwhile, before, after, forecast, now);
		if (worthwhile) {
			this.mapSwitch.start(planned, term, now);
			this.schedule.reset();
		}
	}

	// Most rounds cause no switch; these are logged at most once a second.
	private void log(boolean worthwhile, double before, double after, TrafficForecast forecast, long now) {
		if (!worthwhile && now - this.stayLoggedAt < STAY_LOG_INTERVAL_NANOS) {
			return;
		}
		this.stayLoggedAt = now;
		LOG.info("rebalance", Field.of("outcome", worthwhile ? "switch" : "stay"),
				Field.of("skew-before", decimal(before)), Field.of("skew-after", decimal(after)),
				Field.of("choices", Math.round(forecast.total())), Field.of("rounds", forecast.rounds()),
				Field.of("drift", decimal(forecast.drift())),
				Field.of("pass-ms", decimal(this.mapSwitch.averagePassNanos() / 1e6)));
	}

	// Returns the estimated time saved per pass in nanoseconds. Only the work of the
	// experts depends on their placement, not the fixed part of a pass.
	private double saving(double before, double after) {
		double fixed = (double) this.shape.stepBase().toNanos() * this.shape.stride();
		double even = (double) this.shape.stepPerRequest().toNanos() * this.shape.stride() * MIN_REQUESTS;
		double varying = Math.max(even * before, this.mapSwitch.averagePassNanos() - fixed);
		return this.shape.expertShare() * varying * (before - after) / before;
	}

	private static String decimal(double value) {
		return String.format(Locale.ROOT, "%.2f", value);
	}

}
