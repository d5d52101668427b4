package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;

/**
 * Changes the expert map of all ranks of a group atomically, at the beginning of one
 * pass.
 * <p>
 * Works like a two-phase commit. All ranks prepare the map. Then one rank holds a pass
 * that has not begun; after it has confirmed, all ranks are armed for that pass, and
 * after all are armed the pass is released. So no pass begins while only some ranks are
 * armed, however long orders are delayed: a late order is for a pass that has begun, for
 * a superseded version or for another epoch, and the engine refuses it. Orders are
 * idempotent and are resent unchanged if there is no answer. A new coordinator completes
 * a switch that its predecessor left while a pass was held: once any rank is armed, all
 * ranks have prepared the map.
 */
public final class MapSwitch {

	private static final EventLog LOG = EventLog.of(MapSwitch.class);

	/** Orders without an answer are resent after this time. */
	private static final long REPEAT_NANOS = 300_000_000L;

	/**
	 * Copying experts takes a fraction of a second; a plan that is not prepared after
	 * this time is outdated and dropped.
	 */
	private static final long PREPARE_NANOS = 7_000_000_000L;

	/** If not all ranks are armed after this time, the switch is rolled back. */
	private static final long ARM_NANOS = 6_000_000_000L;

	/**
	 * A deputy confirms within a round trip; the switch goes on without it after this
	 * time.
	 */
	private static final long ENTRUST_NANOS = 40_000_000L;

	/** A report may be this old when it arrives. */
	private static final long REPORT_LAG_NANOS = 60_000_000L;

	/**
	 * Time that another coordinator's switch has to complete before it is taken over.
	 */
	private static final long SETTLE_NANOS = 900_000_000L;

	/**
	 * Passes between the present one and the held one if the hold order arrives in time.
	 * Each refused hold raises the distance by one.
	 */
	private static final int SHORTEST_LEAD = 1;

	private static final int LONGEST_LEAD = 8;

	/**
	 * Added passes while orders are being lost, so that resent orders still arrive in
	 * time.
	 */
	private static final int LOSS_LEAD = 2;

	/** Losses come in bursts of some seconds. */
	private static final long LOSS_MEMORY_NANOS = 5_000_000_000L;

	private final Map<Integer, RankReport> reports = new HashMap<>();

	private final Map<Integer, Long> reportedAt = new HashMap<>();

	private final OrderRetryTimer retryTimer = new OrderRetryTimer(REPEAT_NANOS);

	private final Set<Integer> armedRanks = new HashSet<>();

	private Phase phase = Phase.IDLE;

	private long since;

	private long epoch = Long.MIN_VALUE;

	private long version;

	private ExpertLayout layout;

	private boolean adopted;

	private long step;

	private int holder;

	private int lead = SHORTEST_LEAD;

	private long orderLostAt = Long.MIN_VALUE / 2;

	private final PassEstimator passes = new PassEstimator();

	/**
	 * Processes a rank's report. Reports of an earlier epoch are ignored; a newer epoch
	 * aborts the switch.
	 * @param report the report
	 * @param now the present time in nanoseconds
	 */
	public void addReport(RankReport report, long now) {
		if (report.epoch() != this.epoch) {
			if (report.epoch() < this.epoch) {
				return;
			}
			reset(report.epoch(), now);
		}
		this.reports.put(report.rank(), report);
		this.reportedAt.put(report.rank(), now);
		this.passes.recordPassStart(report.step(), now);
	}

	private void reset(long newEpoch, long now) {
		if (this.phase != Phase.IDLE) {
			LOG.info("map-switch-dropped", Field.of("reason", "epoch"), Field.of("epoch", newEpoch),
					Field.of("phase", this.phase), Field.of("version", this.version));
		}
		this.epoch = newEpoch;
		this.reports.clear();
		this.reportedAt.clear();
		this.passes.reset();
		enter(Phase.IDLE, now);
	}

	/**
	 * Returns whether a switch may start now.
	 * @param now the present time in nanoseconds
	 * @return {@code true} if recent reports of all ranks show them running under one
	 * map, with no rank armed and no pass held
	 */
	public boolean canStart(long now) {
		return this.phase == Phase.IDLE && allReportsRecent(now)
				&& this.reportedAt.values().stream().allMatch((at) -> at - this.since > REPORT_LAG_NANOS)
				&& this.reports.values()
					.stream()
					.allMatch((report) -> report.open() && report.armedVersion() == 0 && report.heldStep().isEmpty())
				&& this.reports.values().stream().map(RankReport::mapVersion).distinct().count() == 1;
	}

	/**
	 * Returns whether ranks are copying experts for a map that another plan can still
	 * replace.
	 * @return {@code true} if no pass is held and no rank is armed
	 */
	public boolean isPreparing() {
		return this.phase == Phase.PREPARING;
	}

	private boolean allReportsRecent(long now) {
		RankReport any = this.reports.values().stream().findAny().orElse(null);
		return any != null && this.reports.size() == any.size()
				&& this.reportedAt.values().stream().allMatch((at) -> now - at < 2_000_000_000L);
	}

	/**
	 * Returns the layout in force.
	 * @param now the present time in nanoseconds
	 * @return the layout; valid only if {@link #canStart} returns {@code true}
	 */
	public ExpertLayout currentLayout(long now) {
		int sets = this.reports.get(0).layout().size();
		List<List<List<Integer>>> all = new ArrayList<>();
		for (int set = 0; set < sets; set++) {
			List<List<Integer>> ranks = new ArrayList<>();
			for (int rank = 0; rank < this.reports.size(); rank++) {
				ranks.add(this.reports.get(rank).layout().get(set));
			}
			all.add(ranks);
		}
		return new ExpertLayout(all);
	}

	/**
	 * Returns the slowdown factor of each rank.
	 * @return the factors by rank, at least 1; valid only if all ranks have reported
	 */
	public double[] slowdowns() {
		double[] slowdowns = new double[this.reports.size()];
		this.reports.forEach((rank, report) -> slowdowns[rank] = Math.max(1, report.slowdown()));
		return slowdowns;
	}

	/**
	 * Returns the duration of a pass.
	 * @return the moving average in nanoseconds
	 */
	public double averagePassNanos() {
		return this.passes.averagePassNanos();
	}

	/**
	 * Starts a switch with a version above all that the ranks have reported.
	 * @param planned the map
	 * @param term the coordinator's term; it forms the upper bits of the version, so that
	 * versions of two coordinators differ
	 * @param now the present time in nanoseconds
	 */
	public void start(ExpertLayout planned, long term, long now) {
		long highest = term << 20;
		for (RankReport report : this.reports.values()) {
			highest = Math.max(highest, Math.max(report.mapVersion(), report.preparedVersion()));
		}
		this.version = Math.max(highest, this.version) + 1;
		this.layout = planned;
		this.adopted = false;
		enter(Phase.PREPARING, now);
	}

	/**
	 * Processes an engine's answer. Answers to orders of an earlier phase, pass or epoch
	 * are ignored.
	 * @param order the order
	 * @param answer the answer
	 * @param now the present time in nanoseconds
	 */
	public void handleAnswer(RankOrder order, OrderAnswer answer, long now) {
		if (order.order().epoch() != this.epoch) {
			return;
		}
		if (answer == OrderAnswer.UNKNOWN) {
			this.retryTimer.markLost(order.rank());
			this.orderLostAt = now;
			return;
		}
		boolean accepted = answer == OrderAnswer.TAKEN;
		if (order.order() instanceof HoldStep hold && this.phase == Phase.HOLDING && hold.step() == this.step) {
			handleHoldAnswer(accepted, now);
		}
		else if (order.order() instanceof ArmMap arm && this.phase == Phase.ARMING && arm.step() == this.step) {
			handleArmAnswer(order.rank(), accepted, now);
		}
		else if (order.order() instanceof DisarmMap && this.phase == Phase.DISARMING) {
			this.armedRanks.remove(order.rank());
			if (this.armedRanks.isEmpty()) {
				enter(Phase.RELEASING, now);
			}
		}
		else if (order.order() instanceof ReleaseStep release && release.step() == this.step) {
			handleReleaseAnswer(now);
		}
	}

	private void handleHoldAnswer(boolean accepted, long now) {
		if (accepted) {
			enter(Phase.ARMING, now);
		}
		else {
			this.lead = Math.min(LONGEST_LEAD, this.lead + 1);
			chooseStep(now);
		}
	}

	private void handleArmAnswer(int rank, boolean accepted, long now) {
		if (!accepted) {
			LOG.warn("arm-refused", Field.of("rank", rank), Field.of("version", this.version),
					Field.of("step", this.step));
			return;
		}
		this.armedRanks.add(rank);
		if (this.armedRanks.size() == this.reports.size()) {
			enter(Phase.RELEASING, now);
		}
	}

	private void handleReleaseAnswer(long now) {
		if (this.phase == Phase.RELEASING) {
			LOG.info("map-switched", Field.of("version", this.version), Field.of("step", this.step),
					Field.of("epoch", this.epoch));
			this.lead = SHORTEST_LEAD;
			enter(Phase.IDLE, now);
		}
	}

	private void enter(Phase next, long now) {
		this.phase = next;
		this.since = now;
		this.retryTimer.reset();
		if (next != Phase.DISARMING) {
			this.armedRanks.clear();
		}
	}

	private void chooseStep(long now) {
		enter(Phase.ENTRUSTING, now);
		int margin = (now - this.orderLostAt < LOSS_MEMORY_NANOS) ? LOSS_LEAD : 0;
		this.step = this.passes.passAhead(this.lead + margin, now);
	}

	/**
	 * Returns the switch to delegate to a deputy, from before its pass is held until the
	 * pass is released.
	 * @param group the service and group, as {@code service/group}
	 * @return the switch, or empty if no pass is held or about to be, or if the switch
	 * was taken over from another coordinator
	 */
	public Optional<DelegatedSwitch> delegatedSwitch(String group) {
		if (this.adopted || this.phase == Phase.IDLE || this.phase == Phase.PREPARING
				|| this.phase == Phase.DISARMING) {
			return Optional.empty();
		}
		List<String> servers = new ArrayList<>();
		for (int rank = 0; rank < this.reports.size(); rank++) {
			servers.add(this.reports.get(rank).server());
		}
		return Optional.of(new DelegatedSwitch(group, this.epoch, this.version, this.step, this.holder, servers));
	}

	/**
	 * Records that a deputy has stored the switch; its pass can be held now.
	 * @param delegatedSwitch the switch
	 * @param now the present time in nanoseconds
	 */
	public void delegationConfirmed(DelegatedSwitch delegatedSwitch, long now) {
		if (this.phase == Phase.ENTRUSTING && delegatedSwitch.step() == this.step
				&& delegatedSwitch.epoch() == this.epoch) {
			enter(Phase.HOLDING, now);
		}
	}

	private List<RankOrder> delegating(long now) {
		if (now - this.since <= ENTRUST_NANOS) {
			return List.of();
		}
		LOG.warn("switch-not-entrusted", Field.of("version", this.version), Field.of("step", this.step));
		enter(Phase.HOLDING, now);
		return holding(now);
	}

	/**
	 * Returns the orders that are due.
	 * @param now the present time in nanoseconds
	 * @return the orders; the caller passes the answer to each to {@link #handleAnswer}
	 */
	public List<RankOrder> tick(long now) {
		return switch (this.phase) {
			case IDLE -> {
				takeOver(now);
				yield List.of();
			}
			case PREPARING -> preparing(now);
			case ENTRUSTING -> delegating(now);
			case HOLDING -> holding(now);
			case ARMING -> arming(now);
			case DISARMING -> disarming(now);
			case RELEASING -> toHolder(new ReleaseStep(this.epoch, this.step), now);
		};
	}

	// Completes a switch that another coordinator left while a pass is held.
	private void takeOver(long now) {
		if (now - this.since < SETTLE_NANOS || !allReportsRecent(now)) {
			return;
		}
		for (RankReport report : this.reports.values()) {
			OptionalLong held = report.heldStep();
			if (held.isPresent() && held.getAsLong() > report.step()) {
				this.adopted = true;
				this.holder = report.rank();
				this.step = held.getAsLong();
				long armed = this.reports.values().stream().mapToLong(RankReport::armedVersion).max().orElse(0);
				LOG.warn("map-switch-adopted", Field.of("step", this.step), Field.of("armed", armed));
				if (armed != 0) {
					this.version = armed;
				}
				enter((armed != 0) ? Phase.ARMING : Phase.RELEASING, now);
				return;
			}
		}
	}

	private List<RankOrder> preparing(long now) {
		if (this.reports.values().stream().allMatch((report) -> report.preparedVersion() == this.version)) {
			this.holder = 0;
			chooseStep(now);
			return List.of();
		}
		if (now - this.since > PREPARE_NANOS) {
			LOG.warn("map-switch-dropped", Field.of("reason", "not-prepared"), Field.of("version", this.version));
			enter(Phase.IDLE, now);
			return List.of();
		}
		List<RankOrder> orders = new ArrayList<>();
		for (RankReport report : this.reports.values()) {
			if (report.preparedVersion() != this.version && this.retryTimer.markSentIfDue(report.rank(), now)) {
				orders.add(order(report, new PrepareMap(this.epoch, this.version, this.layout)));
			}
		}
		return orders;
	}

	private List<RankOrder> holding(long now) {
		RankReport report = this.reports.get(this.holder);
		if (report != null && report.step() >= this.step && report.heldStep().isEmpty()) {
			handleHoldAnswer(false, now);
		}
		return toHolder(new HoldStep(this.epoch, this.step), now);
	}

	private List<RankOrder> arming(long now) {
		if (now - this.since > ARM_NANOS) {
			LOG.error("map-switch-taken-back", Field.of("version", this.version), Field.of("step", this.step),
					Field.of("armed", this.armedRanks.size()));
			enter(this.armedRanks.isEmpty() ? Phase.RELEASING : Phase.DISARMING, now);
			return tick(now);
		}
		List<RankOrder> orders = new ArrayList<>();
		for (RankReport report : this.reports.values()) {
			if (!this.armedRanks.contains(report.rank()) && this.retryTimer.markSentIfDue(report.rank(), now)) {
				orders.add(order(report, new ArmMap(this.epoch, this.version, this.step)));
			}
		}
		return orders;
	}

	private List<RankOrder> disarming(long now) {
		List<RankOrder> orders = new ArrayList<>();
		for (RankReport report : this.reports.values()) {
			if (this.armedRanks.contains(report.rank()) && this.retryTimer.markSentIfDue(report.rank(), now)) {
				orders.add(order(report, new DisarmMap(this.epoch, this.version)));
			}
		}
		return orders;
	}

	private List<RankOrder> toHolder(EngineOrder order, long now) {
		RankReport report = this.reports.get(this.holder);
		return (report != null && this.retryTimer.markSentIfDue(this.holder, now)) ? List.of(order(report, order))
				: List.of();
	}

	private static RankOrder order(RankReport report, EngineOrder order) {
		return new RankOrder(report.server(), report.rank(), order);
	}

	/** The phases of a switch. */
	private enum Phase {

		/** No switch is in progress. */
		IDLE,
		/** Ranks copy experts. */
		PREPARING,
		/** The switch is sent to a deputy, which can complete the remaining phases. */
		ENTRUSTING,
		/** One rank is ordered to hold a pass; no rank is armed. */
		HOLDING,
		/** The pass is held and all ranks are being armed. */
		ARMING,
		/** The pass is held and the armed ranks are being disarmed. */
		DISARMING,
		/** All ranks or none are armed, and the pass is being released. */
		RELEASING

	}

}
