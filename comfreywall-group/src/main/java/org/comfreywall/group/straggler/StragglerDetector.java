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
 * Finds slow ranks from step times and tells a hot expert from slow hardware.
 * <p>
 * A rank is late if its busy time stands out above the median of all ranks for several
 * windows. Its hardware is slow if the time for its load stands out as well, or, where
 * the load is not known, if it is still late after the placement was planned anew. A
 * relapse doubles the healthy time that is asked for before the rank is trusted again.
 * State is bounded by the number of ranks.
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
	 * Creates a detector that believes all ranks healthy.
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
	 * Takes in the step times of one window.
	 * @param times the step times of all ranks
	 * @return how late ranks are to be relieved
	 */
	public List<StragglerCommand> observe(StepTimes times) {
		Preconditions.notNull(times, "times");
		double[] busy = times.busyNanos();
		Preconditions.check(busy.length == this.records.length, "times must name %d ranks: %d", this.records.length,
				busy.length);
		this.commands = new ArrayList<>();
		RobustOutliers late = RobustOutliers.of(busy);
		RobustOutliers slow = RobustOutliers.of(perLoad(times));
		boolean loadKnown = times.expectedLoad().length > 0;
		for (int rank = 0; rank < busy.length; rank++) {
			if (busy[rank] > 0) {
				observe(rank, late, slow, loadKnown);
			}
		}
		return List.copyOf(this.commands);
	}

	/**
	 * Forgets a rank that was replaced.
	 * @param rank the rank
	 */
	public void replaced(int rank) {
		this.records[rank] = new RankRecord();
	}

	/**
	 * Returns what is believed of a rank.
	 * @param rank the rank
	 * @return its condition
	 */
	public RankCondition condition(int rank) {
		return this.records[rank].condition();
	}

	/**
	 * Returns the speeds with which placements are to be planned.
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

	private void observe(int rank, RobustOutliers late, RobustOutliers slow, boolean loadKnown) {
		RankRecord entry = this.records[rank];
		boolean hardware = entry.condition() == RankCondition.SLOW_HARDWARE
				|| entry.condition() == RankCondition.REPLACE;
		RobustOutliers judged = hardware ? slow : late;
		boolean isSlow = judged.isAbove(rank, this.settings.slowRatio(), this.settings.deviations());
		double ratio = (loadKnown && slow.ratio(rank) > 0) ? slow.ratio(rank) : late.ratio(rank);
		entry.observe(ratio, isSlow, judged.ratio(rank) < this.settings.healthyRatio());
		entry.calmDown(this.settings.windowsToLeave());
		if (entry.hasRecovered(this.settings.windowsToLeave())) {
			recover(rank, entry);
			return;
		}
		boolean slowForLoad = slow.isAbove(rank, this.settings.slowRatio(), this.settings.deviations());
		decide(rank, entry, loadKnown, slowForLoad);
	}

	private void decide(int rank, RankRecord entry, boolean loadKnown, boolean slowForLoad) {
		boolean late = entry.slowWindows() >= this.settings.windowsToEnter();
		switch (entry.condition()) {
			case HEALTHY -> {
				if (late) {
					enter(rank, entry, loadKnown && slowForLoad);
				}
			}
			case HOT_EXPERT -> {
				boolean replanned = entry.windowsInCondition() >= REPLAN_WINDOWS * this.settings.windowsToEnter();
				if (late && (loadKnown ? slowForLoad : replanned)) {
					enter(rank, entry, true);
				}
			}
			case SLOW_HARDWARE -> shedOrReplace(rank, entry);
			case REPLACE -> {
			}
		}
	}

	private void enter(int rank, RankRecord entry, boolean hardware) {
		if (hardware) {
			entry.enter(RankCondition.SLOW_HARDWARE, this.settings.maximumPenalty());
			shed(rank, entry, "slow-hardware");
			return;
		}
		entry.enter(RankCondition.HOT_EXPERT, this.settings.maximumPenalty());
		this.commands.add(new StragglerCommand.PlanPlacement(rank));
		record(rank, entry, "plan-placement", "hot-expert");
	}

	private void shedOrReplace(int rank, RankRecord entry) {
		if (entry.windowsInCondition() >= this.settings.windowsToReplace()
				&& entry.ratio() >= this.settings.replaceRatio()) {
			entry.enter(RankCondition.REPLACE, this.settings.maximumPenalty());
			this.commands.add(new StragglerCommand.ReplaceRank(rank));
			record(rank, entry, "replace-rank", "still-slow-after-shedding");
			return;
		}
		double change = Math.abs(entry.speed() / entry.reportedSpeed() - 1);
		if (change > REPORTED_SPEED_CHANGE && entry.speed() < 1) {
			shed(rank, entry, "speed-changed");
		}
	}

	private void shed(int rank, RankRecord entry, String reason) {
		entry.reportSpeed(entry.speed());
		if (entry.speed() < 1) {
			this.commands.add(new StragglerCommand.ShedExperts(rank, entry.speed()));
			record(rank, entry, "shed-experts", reason);
		}
	}

	private void recover(int rank, RankRecord entry) {
		boolean shed = entry.reportedSpeed() < 1;
		entry.recover();
		if (shed) {
			this.commands.add(new StragglerCommand.RestoreRank(rank));
		}
		record(rank, entry, "restore-rank", "healthy-again");
	}

	private void record(int rank, RankRecord entry, String result, String reason) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REBALANCE, this.group.toString(), result,
				Field.of("rank", rank), Field.of("reason", reason),
				Field.of("ratio-to-median", String.format(Locale.ROOT, "%.3f", entry.ratio())),
				Field.of("windows-in-condition", entry.windowsInCondition())));
	}

}
