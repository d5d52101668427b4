package org.comfreywall.group.straggler;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;

/**
 * Detects slow ranks from step times, and distinguishes hot experts from slow hardware.
 * <p>
 * A rank is slow if its busy time is an outlier above the median of all ranks for several
 * windows. Its hardware is considered slow if its busy time per load is an outlier as
 * well or, if the load is unknown, if it is still slow some windows after a new placement
 * was requested. To damp flapping, each relapse doubles the healthy time required before
 * the rank counts as recovered. Memory is proportional to the number of ranks.
 */
public final class StragglerDetector {

	private static final double REPORTED_SPEED_CHANGE = 0.15;

	private static final int REPLAN_WINDOWS = 4;

	private final GroupId group;

	private final StragglerSettings settings;

	private final DecisionListener listener;

	private final RankRecord[] records;

	private List<StragglerCommand> commands = new ArrayList<>();

	/**
	 * Creates a detector that initially assumes all ranks healthy.
	 * @param group the group
	 * @param ranks the number of ranks
	 * @param settings the settings
	 * @param listener receives a record of each decision
	 */
	public StragglerDetector(GroupId group, int ranks, StragglerSettings settings, DecisionListener listener) {
		this.group = Preconditions.notNull(group, "group");
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.records = IntStream.range(0, ranks).mapToObj((rank) -> new RankRecord()).toArray(RankRecord[]::new);
	}

	/**
	 * Adds the step times of one window.
	 * @param times the step times of all ranks
	 * @return the commands to execute, in order
	 */
	public List<StragglerCommand> observe(StepTimes times) {
		Preconditions.notNull(times, "times");
		double[] busy = times.busyNanos();
		Preconditions.check(busy.length == this.records.length, "times must have %d ranks: %d", this.records.length,
				busy.length);
		this.commands = new ArrayList<>();
		RobustOutliers byTime = RobustOutliers.of(busy);
		RobustOutliers byTimePerLoad = RobustOutliers.of(perLoad(times));
		boolean loadKnown = times.expectedLoad().length > 0;
		for (int rank = 0; rank < busy.length; rank++) {
			if (busy[rank] > 0) {
				observe(rank, byTime, byTimePerLoad, loadKnown);
			}
		}
		return List.copyOf(this.commands);
	}

	/**
	 * Resets the state of a rank that was replaced to healthy.
	 * @param rank the rank
	 */
	public void replaced(int rank) {
		this.records[rank] = new RankRecord();
	}

	/**
	 * Returns the classification of a rank.
	 * @param rank the rank
	 * @return its condition
	 */
	public RankCondition condition(int rank) {
		return this.records[rank].condition();
	}

	/**
	 * Returns the speeds to assume when planning a placement.
	 * @return the speed of each rank, 1 for a healthy one
	 */
	public double[] speeds() {
		return Arrays.stream(this.records).mapToDouble(RankRecord::reportedSpeed).toArray();
	}

	private static double[] perLoad(StepTimes times) {
		double[] values = times.busyNanos();
		double[] load = times.expectedLoad();
		for (int rank = 0; rank < load.length; rank++) {
			values[rank] = (load[rank] > 0) ? values[rank] / load[rank] : 0;
		}
		return values;
	}

	private void observe(int rank, RobustOutliers byTime, RobustOutliers byTimePerLoad, boolean loadKnown) {
		RankRecord tracker = this.records[rank];
		boolean hardware = tracker.condition() == RankCondition.SLOW_HARDWARE
				|| tracker.condition() == RankCondition.REPLACE;
		RobustOutliers outliers = hardware ? byTimePerLoad : byTime;
		boolean isSlow = outliers.isAbove(rank, this.settings.slowRatio(), this.settings.deviations());
		double ratio = (loadKnown && byTimePerLoad.ratio(rank) > 0) ? byTimePerLoad.ratio(rank) : byTime.ratio(rank);
		tracker.observe(ratio, isSlow, outliers.ratio(rank) < this.settings.healthyRatio());
		tracker.calmDown(this.settings.windowsToLeave());
		if (tracker.hasRecovered(this.settings.windowsToLeave())) {
			recover(rank, tracker);
			return;
		}
		boolean slowForLoad = byTimePerLoad.isAbove(rank, this.settings.slowRatio(), this.settings.deviations());
		decide(rank, tracker, loadKnown, slowForLoad);
	}

	private void decide(int rank, RankRecord tracker, boolean loadKnown, boolean slowForLoad) {
		boolean slow = tracker.slowWindows() >= this.settings.windowsToEnter();
		switch (tracker.condition()) {
			case HEALTHY -> {
				if (slow) {
					enter(rank, tracker, loadKnown && slowForLoad);
				}
			}
			case HOT_EXPERT -> {
				boolean replanned = tracker.windowsInCondition() >= REPLAN_WINDOWS * this.settings.windowsToEnter();
				if (slow && (loadKnown ? slowForLoad : replanned)) {
					enter(rank, tracker, true);
				}
			}
			case SLOW_HARDWARE -> shedOrReplace(rank, tracker);
			case REPLACE -> {
			}
		}
	}

	private void enter(int rank, RankRecord tracker, boolean hardware) {
		if (hardware) {
			tracker.enter(RankCondition.SLOW_HARDWARE, this.settings.maximumPenalty());
			shed(rank, tracker, "slow-hardware");
			return;
		}
		tracker.enter(RankCondition.HOT_EXPERT, this.settings.maximumPenalty());
		this.commands.add(new StragglerCommand.PlanPlacement(rank));
		record(rank, tracker, "plan-placement", "hot-expert");
	}

	private void shedOrReplace(int rank, RankRecord tracker) {
		if (tracker.windowsInCondition() >= this.settings.windowsToReplace()
				&& tracker.ratio() >= this.settings.replaceRatio()) {
			tracker.enter(RankCondition.REPLACE, this.settings.maximumPenalty());
			this.commands.add(new StragglerCommand.ReplaceRank(rank));
			record(rank, tracker, "replace-rank", "still-slow-after-shedding");
			return;
		}
		double change = Math.abs(tracker.speed() / tracker.reportedSpeed() - 1);
		if (change > REPORTED_SPEED_CHANGE && tracker.speed() < 1) {
			shed(rank, tracker, "speed-changed");
		}
	}

	private void shed(int rank, RankRecord tracker, String reason) {
		tracker.reportSpeed(tracker.speed());
		if (tracker.speed() < 1) {
			this.commands.add(new StragglerCommand.ShedExperts(rank, tracker.speed()));
			record(rank, tracker, "shed-experts", reason);
		}
	}

	private void recover(int rank, RankRecord tracker) {
		boolean wasSlowed = tracker.reportedSpeed() < 1;
		tracker.recover();
		if (wasSlowed) {
			this.commands.add(new StragglerCommand.RestoreRank(rank));
		}
		record(rank, tracker, "restore-rank", "healthy-again");
	}

	private void record(int rank, RankRecord tracker, String result, String reason) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REBALANCE, this.group.toString(), result,
				Field.of("rank", rank), Field.of("reason", reason),
				Field.of("ratio-to-median", String.format(Locale.ROOT, "%.3f", tracker.ratio())),
				Field.of("windows-in-condition", tracker.windowsInCondition())));
	}

}
