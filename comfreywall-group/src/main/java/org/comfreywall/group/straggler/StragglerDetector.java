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

	private static final double MIN_SPEED_CHANGE = 0.15;

	private static final int REPLAN_PERIODS = 4;

	private final GroupId group;

	private final StragglerSettings settings;

	private final DecisionListener listener;

	private final RankTracker[] trackers;

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
		this.trackers = IntStream.range(0, ranks).mapToObj((rank) -> new RankTracker()).toArray(RankTracker[]::new);
	}

	/**
	 * Adds the step times of one window.
	 * @param times the step times of all ranks
	 * @return the commands to execute, in order
	 */
	public List<StragglerCommand> observe(StepTimes times) {
		Preconditions.notNull(times, "times");
		double[] busy = times.busyNanos();
		Preconditions.check(busy.length == this.trackers.length, "times must have %d ranks: %d", this.trackers.length,
				busy.length);
		this.commands = new ArrayList<>();
		RobustOutliers byTime = RobustOutliers.of(busy);
		RobustOutliers byTimePerLoad = RobustOutliers.of(timePerLoad(times));
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
	public void resetRank(int rank) {
		this.trackers[rank] = new RankTracker();
	}

	/**
	 * Returns the classification of a rank.
	 * @param rank the rank
	 * @return its condition
	 */
	public RankCondition condition(int rank) {
		return this.trackers[rank].condition();
	}

	/**
	 * Returns the speeds to assume when planning a placement.
	 * @return the speed of each rank, 1 for a healthy one
	 */
	public double[] speeds() {
		return Arrays.stream(this.trackers).mapToDouble(RankTracker::plannedSpeed).toArray();
	}

	private static double[] timePerLoad(StepTimes times) {
		double[] values = times.busyNanos();
		double[] load = times.expectedLoad();
		for (int rank = 0; rank < load.length; rank++) {
			values[rank] = (load[rank] > 0) ? values[rank] / load[rank] : 0;
		}
		return values;
	}

	private void observe(int rank, RobustOutliers byTime, RobustOutliers byTimePerLoad, boolean loadKnown) {
		RankTracker tracker = this.trackers[rank];
		boolean hardware = tracker.condition() == RankCondition.SLOW_HARDWARE
				|| tracker.condition() == RankCondition.REPLACE;
		RobustOutliers outliers = hardware ? byTimePerLoad : byTime;
		boolean isSlow = outliers.isAbove(rank, this.settings.slowRatio(), this.settings.deviations());
		double ratio = (loadKnown && byTimePerLoad.ratio(rank) > 0) ? byTimePerLoad.ratio(rank) : byTime.ratio(rank);
		tracker.observe(ratio, isSlow, outliers.ratio(rank) < this.settings.healthyRatio());
		tracker.decayPenalty(this.settings.windowsToLeave());
		if (tracker.hasRecovered(this.settings.windowsToLeave())) {
			restoreRank(rank, tracker);
			return;
		}
		boolean slowForLoad = byTimePerLoad.isAbove(rank, this.settings.slowRatio(), this.settings.deviations());
		decide(rank, tracker, loadKnown, slowForLoad);
	}

	private void decide(int rank, RankTracker tracker, boolean loadKnown, boolean slowForLoad) {
		boolean slow = tracker.slowWindows() >= this.settings.windowsToEnter();
		switch (tracker.condition()) {
			case HEALTHY -> {
				if (slow) {
					markSlow(rank, tracker, loadKnown && slowForLoad);
				}
			}
			case HOT_EXPERT -> {
				boolean replanned = tracker.windowsInCondition() >= REPLAN_PERIODS * this.settings.windowsToEnter();
				if (slow && (loadKnown ? slowForLoad : replanned)) {
					markSlow(rank, tracker, true);
				}
			}
			case SLOW_HARDWARE -> shedOrReplace(rank, tracker);
			case REPLACE -> {
			}
		}
	}

	private void markSlow(int rank, RankTracker tracker, boolean hardware) {
		if (hardware) {
			tracker.changeCondition(RankCondition.SLOW_HARDWARE, this.settings.maximumPenalty());
			shedExperts(rank, tracker, "slow-hardware");
			return;
		}
		tracker.changeCondition(RankCondition.HOT_EXPERT, this.settings.maximumPenalty());
		this.commands.add(new StragglerCommand.PlanPlacement(rank));
		recordDecision(rank, tracker, "plan-placement", "hot-expert");
	}

	private void shedOrReplace(int rank, RankTracker tracker) {
		if (tracker.windowsInCondition() >= this.settings.windowsToReplace()
				&& tracker.ratio() >= this.settings.replaceRatio()) {
			tracker.changeCondition(RankCondition.REPLACE, this.settings.maximumPenalty());
			this.commands.add(new StragglerCommand.ReplaceRank(rank));
			recordDecision(rank, tracker, "replace-rank", "still-slow-after-shedding");
			return;
		}
		double change = Math.abs(tracker.estimatedSpeed() / tracker.plannedSpeed() - 1);
		if (change > MIN_SPEED_CHANGE && tracker.estimatedSpeed() < 1) {
			shedExperts(rank, tracker, "speed-changed");
		}
	}

	private void shedExperts(int rank, RankTracker tracker, String reason) {
		tracker.setPlannedSpeed(tracker.estimatedSpeed());
		if (tracker.estimatedSpeed() < 1) {
			this.commands.add(new StragglerCommand.ShedExperts(rank, tracker.estimatedSpeed()));
			recordDecision(rank, tracker, "shed-experts", reason);
		}
	}

	private void restoreRank(int rank, RankTracker tracker) {
		boolean wasSlowed = tracker.plannedSpeed() < 1;
		tracker.markHealthy();
		if (wasSlowed) {
			this.commands.add(new StragglerCommand.RestoreRank(rank));
		}
		recordDecision(rank, tracker, "restore-rank", "healthy-again");
	}

	private void recordDecision(int rank, RankTracker tracker, String result, String reason) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REBALANCE, this.group.toString(), result,
				Field.of("rank", rank), Field.of("reason", reason),
				Field.of("ratio-to-median", String.format(Locale.ROOT, "%.3f", tracker.ratio())),
				Field.of("windows-in-condition", tracker.windowsInCondition())));
	}

}
