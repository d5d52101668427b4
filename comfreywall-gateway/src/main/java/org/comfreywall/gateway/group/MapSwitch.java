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
 * Works like a two-phase commit:
 * <ol>
 * <li>All ranks prepare the map, that is, they copy the experts that they do not hold.
 * <li>The coordinator chooses a pass that has not begun and delegates the switch to a
 * deputy, which completes it if the coordinator fails.
 * <li>One rank, the holder, holds that pass, so that the group does not begin it.
 * <li>All ranks are armed: they change to the map when the held pass begins.
 * <li>The holder releases the pass.
 * </ol>
 * Because the pass is held until all ranks are armed, it does not begin while only some
 * of them are. This does not depend on how long orders are delayed: a late order is for a
 * pass that has begun, for a superseded version or for another epoch, and the engine
 * refuses it. Orders are idempotent and are resent unchanged if there is no answer.
 * <p>
 * If a coordinator fails while a pass is held, a new coordinator takes the switch over.
 * It can arm the remaining ranks if it finds an armed one, because ranks are armed only
 * after all of them have prepared the map.
 * <p>
 * Orders, reports and log lines call a pass a step.
 */
public final class MapSwitch {

	private static final EventLog LOG = EventLog.of(MapSwitch.class);

	/** Time after which an order without an answer is resent. */
	private static final long ORDER_RETRY_INTERVAL_NANOS = 300_000_000L;

	/**
	 * Maximum number of ranks that a map is being sent to. More at once would keep the
	 * coordinator from its requests, and their answers would come too late.
	 */
	private static final int MAX_UNANSWERED_MAPS = 32;

	/**
	 * Time in which a rank that answered the order has copied its experts and reported
	 * it. The map of a large group is tens of kilobytes for each rank; sent again
	 * meanwhile, it would keep the coordinator's link busy for seconds.
	 */
	private static final long PREPARED_REPORT_TIMEOUT_NANOS = 2_000_000_000L;

	/**
	 * Time after which a switch is dropped if not all ranks have prepared the map.
	 * Copying experts usually takes a fraction of a second, and the plan is outdated if
	 * it takes this long.
	 */
	private static final long PREPARE_TIMEOUT_NANOS = 7_000_000_000L;

	/** Time after which a switch is rolled back if not all ranks are armed. */
	private static final long ARM_TIMEOUT_NANOS = 6_000_000_000L;

	/**
	 * Time to wait for a deputy's confirmation, which takes one round trip. Afterwards
	 * the switch continues without a deputy.
	 */
	private static final long DELEGATION_TIMEOUT_NANOS = 40_000_000L;

	/**
	 * Maximum delay of a report. One that arrives within this time after a phase change
	 * may describe the state before the change, so no switch starts on it.
	 */
	private static final long MAX_REPORT_DELAY_NANOS = 60_000_000L;

	/**
	 * Time in the idle phase before a held pass is taken over. It lets another
	 * coordinator that still runs complete its switch.
	 */
	private static final long TAKEOVER_DELAY_NANOS = 900_000_000L;

	/**
	 * Initial distance from the current pass to the pass to hold. It increases by one
	 * with each attempt to hold a pass that fails, and is reset after a switch.
	 */
	private static final int MIN_LEAD_PASSES = 1;

	/** Maximum distance, without the extra passes. */
	private static final int MAX_LEAD_PASSES = 8;

	/**
	 * Passes added to the distance for some time after an order was not answered, so that
	 * a resent hold order still arrives before the pass begins.
	 */
	private static final int EXTRA_LEAD_PASSES = 2;

	/**
	 * Time after an unanswered order during which the extra passes are added. Orders are
	 * lost in bursts of a few seconds.
	 */
	private static final long EXTRA_LEAD_DURATION_NANOS = 5_000_000_000L;

	private final Map<Integer, RankReport> reports = new HashMap<>();

	private final Map<Integer, Long> reportedAt = new HashMap<>();

	private final OrderRetryTimer retryTimer = new OrderRetryTimer(ORDER_RETRY_INTERVAL_NANOS);

	private final Set<Integer> armedRanks = new HashSet<>();

	private Phase phase = Phase.IDLE;

	private long phaseStartedAt;

	private long epoch = Long.MIN_VALUE;

	// The version that the ranks prepare or are armed for, not the one in force.
	private long targetVersion;

	// The ranks that have not answered the order to prepare the target version.
	private final Set<Integer> unansweredMaps = new HashSet<>();

	// Used only to prepare the map; a switch that was taken over needs no layout.
	private ExpertLayout targetLayout;

	// Whether the switch was begun by another coordinator.
	private boolean takenOver;

	// The pass that is held or to be held, and the first that runs under the map.
	private long heldPass;

	private int holderRank;

	private int leadPasses = MIN_LEAD_PASSES;

	// Half the minimum, so that the difference to the current time does not overflow.
	private long orderUnansweredAt = Long.MIN_VALUE / 2;

	private final PassEstimator passEstimator = new PassEstimator();

	/**
	 * Processes a rank's report. Reports of an earlier epoch are ignored. A report of a
	 * newer epoch drops the switch in progress and the reports of the earlier epoch.
	 * @param report the report
	 * @param now the current time in nanoseconds
	 */
	public void addReport(RankReport report, long now) {
		if (report.epoch() != this.epoch) {
			if (report.epoch() < this.epoch) {
				return;
			}
			resetForEpoch(report.epoch(), now);
		}
		this.reports.put(report.rank(), report);
		this.reportedAt.put(report.rank(), now);
		this.passEstimator.recordPassStart(report.step(), now);
	}

	private void resetForEpoch(long newEpoch, long now) {
		if (this.phase != Phase.IDLE) {
			LOG.info("map-switch-dropped", Field.of("reason", "epoch"), Field.of("epoch", newEpoch),
					Field.of("phase", this.phase), Field.of("version", this.targetVersion));
		}
		this.epoch = newEpoch;
		this.reports.clear();
		this.reportedAt.clear();
		this.passEstimator.reset();
		enterPhase(Phase.IDLE, now);
	}

	/**
	 * Returns whether a switch may start now.
	 * @param now the current time in nanoseconds
	 * @return {@code true} if no switch is in progress and recent reports of all ranks
	 * show them running under one map, with no rank armed and no pass held
	 */
	public boolean canStart(long now) {
		return this.phase == Phase.IDLE && allReportsRecent(now)
				&& this.reportedAt.values().stream().allMatch((at) -> at - this.phaseStartedAt > MAX_REPORT_DELAY_NANOS)
				&& this.reports.values()
					.stream()
					.allMatch((report) -> report.open() && report.armedVersion() == 0 && report.heldStep().isEmpty())
				&& this.reports.values().stream().map(RankReport::mapVersion).distinct().count() == 1;
	}

	/**
	 * Returns whether ranks are preparing a map that {@link #start} may still replace.
	 * @return {@code true} from the start of a switch until all ranks have reported the
	 * map as prepared
	 */
	public boolean isPreparing() {
		return this.phase == Phase.PREPARING;
	}

	private boolean allReportsRecent(long now) {
		// Every report contains the number of ranks of the group. A rank without a report
		// for two seconds is considered lost.
		RankReport anyReport = this.reports.values().stream().findAny().orElse(null);
		return anyReport != null && this.reports.size() == anyReport.size()
				&& this.reportedAt.values().stream().allMatch((at) -> now - at < 2_000_000_000L);
	}

	/**
	 * Returns the layout that the latest reports of the ranks show, however old they are.
	 * @param now not used
	 * @return the layout; valid only if all ranks have reported in this epoch
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
	 * @return the factors by rank, at least 1; valid only if all ranks have reported in
	 * this epoch
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
		return this.passEstimator.averagePassNanos();
	}

	/**
	 * Starts a switch under a version above all that the ranks have reported, in place of
	 * a switch that the ranks are still preparing.
	 * @param planned the layout to change to
	 * @param term the coordinator's term; it forms the upper bits of the version, so that
	 * versions of two coordinators differ
	 * @param now the current time in nanoseconds
	 */
	public void start(ExpertLayout planned, long term, long now) {
		// Leaves 2^20 versions for the switches of one term.
		long highest = term << 20;
		for (RankReport report : this.reports.values()) {
			highest = Math.max(highest, Math.max(report.mapVersion(), report.preparedVersion()));
		}
		this.targetVersion = Math.max(highest, this.targetVersion) + 1;
		this.targetLayout = planned;
		this.unansweredMaps.clear();
		this.takenOver = false;
		enterPhase(Phase.PREPARING, now);
	}

	/**
	 * Processes an engine's answer. Answers to orders of an earlier epoch are ignored. If
	 * an order was not answered, the rank's current order is due again at once. Otherwise
	 * answers that do not belong to the current phase or pass are ignored. Reports show
	 * which ranks have prepared the map; a rank that answered the order is left to copy.
	 * @param order the order
	 * @param answer the answer
	 * @param now the current time in nanoseconds
	 */
	public void handleAnswer(RankOrder order, OrderAnswer answer, long now) {
		if (order.order().epoch() != this.epoch) {
			return;
		}
		if (order.order() instanceof PrepareMap prepare && prepare.version() == this.targetVersion) {
			this.unansweredMaps.remove(order.rank());
		}
		if (answer == OrderAnswer.UNKNOWN) {
			this.retryTimer.markUnanswered(order.rank());
			this.orderUnansweredAt = now;
			return;
		}
		boolean accepted = answer == OrderAnswer.TAKEN;
		if (order.order() instanceof PrepareMap prepare && this.phase == Phase.PREPARING
				&& prepare.version() == this.targetVersion) {
			// A rank refuses a version that it has taken before, when its answer
			// was lost.
			this.retryTimer.markAnswered(order.rank(), now + PREPARED_REPORT_TIMEOUT_NANOS);
		}
		else if (order.order() instanceof HoldStep hold && this.phase == Phase.HOLDING
				&& hold.step() == this.heldPass) {
			handleHoldResult(accepted, now);
		}
		else if (order.order() instanceof ArmMap arm && this.phase == Phase.ARMING && arm.step() == this.heldPass) {
			handleArmAnswer(order.rank(), accepted, now);
		}
		else if (order.order() instanceof DisarmMap && this.phase == Phase.DISARMING) {
			// A refusal counts as well: a rank that already runs under the map refuses.
			this.armedRanks.remove(order.rank());
			if (this.armedRanks.isEmpty()) {
				enterPhase(Phase.RELEASING, now);
			}
		}
		else if (order.order() instanceof ReleaseStep release && release.step() == this.heldPass) {
			// A refusal counts as well; only an unanswered release is sent again.
			handleReleaseAnswer(now);
		}
	}

	// Tries again with a later pass if this one could not be held.
	private void handleHoldResult(boolean held, long now) {
		if (held) {
			enterPhase(Phase.ARMING, now);
		}
		else {
			this.leadPasses = Math.min(MAX_LEAD_PASSES, this.leadPasses + 1);
			startDelegation(now);
		}
	}

	private void handleArmAnswer(int rank, boolean accepted, long now) {
		if (!accepted) {
			LOG.warn("arm-refused", Field.of("rank", rank), Field.of("version", this.targetVersion),
					Field.of("step", this.heldPass));
			return;
		}
		this.armedRanks.add(rank);
		if (this.armedRanks.size() == this.reports.size()) {
			enterPhase(Phase.RELEASING, now);
		}
	}

	private void handleReleaseAnswer(long now) {
		if (this.phase == Phase.RELEASING) {
			LOG.info("map-switched", Field.of("version", this.targetVersion), Field.of("step", this.heldPass),
					Field.of("epoch", this.epoch));
			this.leadPasses = MIN_LEAD_PASSES;
			enterPhase(Phase.IDLE, now);
		}
	}

	private void enterPhase(Phase next, long now) {
		this.phase = next;
		this.phaseStartedAt = now;
		this.retryTimer.reset();
		// The disarming phase needs the ranks that the arming phase has armed.
		if (next != Phase.DISARMING) {
			this.armedRanks.clear();
		}
	}

	// Chooses the pass to hold; the caller then reads delegatedSwitch and delegates it.
	private void startDelegation(long now) {
		enterPhase(Phase.ENTRUSTING, now);
		int extraPasses = (now - this.orderUnansweredAt < EXTRA_LEAD_DURATION_NANOS) ? EXTRA_LEAD_PASSES : 0;
		this.heldPass = this.passEstimator.passAhead(this.leadPasses + extraPasses, now);
	}

	/**
	 * Returns the switch that a deputy must complete if this coordinator fails: from the
	 * choice of the pass to hold until the pass is released, except while ranks are being
	 * disarmed.
	 * @param group the service and group, as {@code service/group}
	 * @return the switch, or empty if there is none to delegate or if it was taken over
	 * from another coordinator
	 */
	public Optional<DelegatedSwitch> delegatedSwitch(String group) {
		if (this.takenOver || this.phase == Phase.IDLE || this.phase == Phase.PREPARING
				|| this.phase == Phase.DISARMING) {
			return Optional.empty();
		}
		List<String> servers = new ArrayList<>();
		for (int rank = 0; rank < this.reports.size(); rank++) {
			servers.add(this.reports.get(rank).server());
		}
		return Optional
			.of(new DelegatedSwitch(group, this.epoch, this.targetVersion, this.heldPass, this.holderRank, servers));
	}

	/**
	 * Processes the confirmation that a deputy has stored the switch, or that no deputy
	 * can be reached; its pass is held next. Ignored if another pass has been chosen in
	 * the meantime.
	 * @param delegatedSwitch the switch that was confirmed
	 * @param now the current time in nanoseconds
	 */
	public void handleDelegationConfirmed(DelegatedSwitch delegatedSwitch, long now) {
		if (this.phase == Phase.ENTRUSTING && delegatedSwitch.step() == this.heldPass
				&& delegatedSwitch.epoch() == this.epoch) {
			enterPhase(Phase.HOLDING, now);
		}
	}

	private List<RankOrder> tickDelegation(long now) {
		if (now - this.phaseStartedAt <= DELEGATION_TIMEOUT_NANOS) {
			return List.of();
		}
		LOG.warn("switch-not-entrusted", Field.of("version", this.targetVersion), Field.of("step", this.heldPass));
		enterPhase(Phase.HOLDING, now);
		return tickHold(now);
	}

	/**
	 * Advances the switch if a timeout has passed or the reports permit it, and returns
	 * the orders that are due.
	 * @param now the current time in nanoseconds
	 * @return the orders; the caller passes the answer to each to {@link #handleAnswer}
	 */
	public List<RankOrder> tick(long now) {
		return switch (this.phase) {
			case IDLE -> {
				takeOver(now);
				yield List.of();
			}
			case PREPARING -> tickPreparation(now);
			case ENTRUSTING -> tickDelegation(now);
			case HOLDING -> tickHold(now);
			case ARMING -> tickArming(now);
			case DISARMING -> tickDisarming(now);
			case RELEASING -> dueHolderOrder(new ReleaseStep(this.epoch, this.heldPass), now);
		};
	}

	// Takes over a switch if reports show a held pass that has not begun. Completes it if
	// any rank is armed, as all ranks have then prepared the map. Otherwise only releases
	// the pass.
	private void takeOver(long now) {
		if (now - this.phaseStartedAt < TAKEOVER_DELAY_NANOS || !allReportsRecent(now)) {
			return;
		}
		for (RankReport report : this.reports.values()) {
			OptionalLong held = report.heldStep();
			// The holder's last pass is earlier than the held one, which has not begun.
			if (held.isPresent() && held.getAsLong() > report.step()) {
				this.takenOver = true;
				this.holderRank = report.rank();
				this.heldPass = held.getAsLong();
				long armedVersion = this.reports.values().stream().mapToLong(RankReport::armedVersion).max().orElse(0);
				LOG.warn("map-switch-adopted", Field.of("step", this.heldPass), Field.of("armed", armedVersion));
				if (armedVersion != 0) {
					this.targetVersion = armedVersion;
				}
				enterPhase((armedVersion != 0) ? Phase.ARMING : Phase.RELEASING, now);
				return;
			}
		}
	}

	private List<RankOrder> tickPreparation(long now) {
		if (this.reports.values().stream().allMatch((report) -> report.preparedVersion() == this.targetVersion)) {
			this.holderRank = 0;
			startDelegation(now);
			return List.of();
		}
		if (now - this.phaseStartedAt > PREPARE_TIMEOUT_NANOS) {
			LOG.warn("map-switch-dropped", Field.of("reason", "not-prepared"), Field.of("version", this.targetVersion));
			enterPhase(Phase.IDLE, now);
			return List.of();
		}
		List<RankOrder> orders = new ArrayList<>();
		for (RankReport report : this.reports.values()) {
			boolean mayBeSent = this.unansweredMaps.size() < MAX_UNANSWERED_MAPS
					|| this.unansweredMaps.contains(report.rank());
			if (mayBeSent && report.preparedVersion() != this.targetVersion
					&& this.retryTimer.markSentIfDue(report.rank(), now)) {
				this.unansweredMaps.add(report.rank());
				orders.add(addressTo(report, new PrepareMap(this.epoch, this.targetVersion, this.targetLayout)));
			}
		}
		return orders;
	}

	private List<RankOrder> tickHold(long now) {
		RankReport report = this.reports.get(this.holderRank);
		if (report != null && report.step() >= this.heldPass && report.heldStep().isEmpty()) {
			// The pass began before the hold order arrived.
			handleHoldResult(false, now);
		}
		return dueHolderOrder(new HoldStep(this.epoch, this.heldPass), now);
	}

	private List<RankOrder> tickArming(long now) {
		if (now - this.phaseStartedAt > ARM_TIMEOUT_NANOS) {
			LOG.error("map-switch-taken-back", Field.of("version", this.targetVersion), Field.of("step", this.heldPass),
					Field.of("armed", this.armedRanks.size()));
			enterPhase(this.armedRanks.isEmpty() ? Phase.RELEASING : Phase.DISARMING, now);
			return tick(now);
		}
		List<RankOrder> orders = new ArrayList<>();
		for (RankReport report : this.reports.values()) {
			if (!this.armedRanks.contains(report.rank()) && this.retryTimer.markSentIfDue(report.rank(), now)) {
				orders.add(addressTo(report, new ArmMap(this.epoch, this.targetVersion, this.heldPass)));
			}
		}
		return orders;
	}

	private List<RankOrder> tickDisarming(long now) {
		List<RankOrder> orders = new ArrayList<>();
		for (RankReport report : this.reports.values()) {
			if (this.armedRanks.contains(report.rank()) && this.retryTimer.markSentIfDue(report.rank(), now)) {
				orders.add(addressTo(report, new DisarmMap(this.epoch, this.targetVersion)));
			}
		}
		return orders;
	}

	// Returns the order to the holder if it is due.
	private List<RankOrder> dueHolderOrder(EngineOrder order, long now) {
		RankReport report = this.reports.get(this.holderRank);
		return (report != null && this.retryTimer.markSentIfDue(this.holderRank, now))
				? List.of(addressTo(report, order)) : List.of();
	}

	private static RankOrder addressTo(RankReport report, EngineOrder order) {
		return new RankOrder(report.server(), report.rank(), order);
	}

	/** The phases of a switch; their names are written to the log. */
	private enum Phase {

		/** No switch is in progress. */
		IDLE,
		/** Ranks are ordered to prepare the map, and copy experts. */
		PREPARING,
		/** The pass to hold is chosen, and the switch is delegated to a deputy. */
		ENTRUSTING,
		/** The holder is ordered to hold the pass; no rank is armed. */
		HOLDING,
		/** The pass is held and all ranks are being armed. */
		ARMING,
		/** The pass is held and the armed ranks are being disarmed, to roll back. */
		DISARMING,
		/** The holder is ordered to release the pass, with all ranks armed or none. */
		RELEASING

	}

}
