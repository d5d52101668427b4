package org.comfreywall.bench.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.moves.MoveCommand;
import org.comfreywall.group.moves.MoveEvent;
import org.comfreywall.group.moves.MoveId;
import org.comfreywall.group.moves.MovePlan;
import org.comfreywall.group.moves.MoveScheduler;
import org.comfreywall.group.moves.MoveSchedulerSettings;
import org.comfreywall.group.moves.PlanId;
import org.comfreywall.group.moves.WeightStoreBucket;

/**
 * Executes the commands of a {@link MoveScheduler} in simulated time, in which each read
 * from the weight store takes one clock step. Optionally, the coordinator crashes once
 * and recovers its plans.
 */
final class MoveRun {

	/** Disables the crash, as no run starts this many reads. */
	static final int NO_CRASH = Integer.MAX_VALUE;

	private static final long CLOCK_STEP_NANOS = 10_000_000;

	private static final double SECOND_NANOS = 1e9;

	private static final int MAX_CLOCK_STEPS = 1_000_000;

	private static final long BURST_BYTES = 64L << 20;

	private final Map<PlanId, MovePlan> savedPlans = new LinkedHashMap<>();

	private final Map<PlanId, Set<Integer>> stagedMoves = new LinkedHashMap<>();

	private final List<StartedRead> startedReads = new ArrayList<>();

	private final int crashAfterReads;

	private List<MoveId> activeReads = new ArrayList<>();

	private MoveScheduler scheduler;

	private long now;

	private int readsOutOfOrder;

	MoveRun(int crashAfter) {
		this.crashAfterReads = crashAfter;
	}

	void run(MovePlan... plans) {
		startScheduler();
		for (MovePlan plan : plans) {
			handle(new MoveEvent.PlanAccepted(plan));
		}
		boolean crashed = false;
		for (int step = 0; step < MAX_CLOCK_STEPS && !this.savedPlans.isEmpty(); step++) {
			this.now += CLOCK_STEP_NANOS;
			if (!crashed && this.startedReads.size() >= this.crashAfterReads) {
				crashed = true;
				crash();
			}
			completeReads();
			handle(new MoveEvent.Tick());
		}
	}

	private void startScheduler() {
		this.scheduler = new MoveScheduler(MoveSchedulerSettings.DEFAULT,
				new WeightStoreBucket(PlacementMeasurement.STORE_BYTES_PER_SECOND, BURST_BYTES, this.now),
				DecisionListener.NONE, new Invariants());
	}

	// Results of reads in progress do not reach the new coordinator.
	private void crash() {
		this.activeReads.clear();
		startScheduler();
		List.copyOf(this.savedPlans.values())
			.forEach((plan) -> handle(
					new MoveEvent.PlanRecovered(plan, this.stagedMoves.getOrDefault(plan.id(), new TreeSet<>()))));
	}

	private void completeReads() {
		List<MoveId> completed = this.activeReads;
		this.activeReads = new ArrayList<>();
		for (MoveId move : completed) {
			this.stagedMoves.computeIfAbsent(move.plan(), (plan) -> new TreeSet<>()).add(move.index());
			handle(new MoveEvent.MoveStaged(move));
		}
	}

	private void handle(MoveEvent event) {
		this.scheduler.handle(event, this.now).forEach(this::execute);
	}

	private void execute(MoveCommand command) {
		if (command instanceof MoveCommand.SavePlan save) {
			this.savedPlans.put(save.plan().id(), save.plan());
			handle(new MoveEvent.PlanSaved(save.plan().id()));
		}
		else if (command instanceof MoveCommand.PlanStaged planStaged) {
			this.savedPlans.remove(planStaged.plan());
		}
		else if (command instanceof MoveCommand.StartRead read) {
			checkReadOrder(read);
			this.startedReads.add(new StartedRead(this.now, read.move().bytes()));
			this.activeReads.add(read.id());
		}
	}

	// Counts a read as out of order if another move with a higher gain per byte had been
	// neither started nor staged.
	private void checkReadOrder(MoveCommand.StartRead read) {
		for (MovePlan plan : this.savedPlans.values()) {
			for (int index = 0; index < plan.moves().size(); index++) {
				MoveId other = new MoveId(plan.id(), index);
				boolean notStarted = !this.activeReads.contains(other)
						&& !this.stagedMoves.getOrDefault(plan.id(), Set.of()).contains(index);
				if (notStarted && plan.moves().get(index).gainPerByte() > read.move().gainPerByte()) {
					this.readsOutOfOrder++;
					return;
				}
			}
		}
	}

	int readCount() {
		return this.startedReads.size();
	}

	long readBytes() {
		return this.startedReads.stream().mapToLong(StartedRead::bytes).sum();
	}

	double elapsedSeconds() {
		return this.now / SECOND_NANOS;
	}

	int unfinishedPlans() {
		return this.savedPlans.size();
	}

	int readsOutOfOrder() {
		return this.readsOutOfOrder;
	}

	/**
	 * Counts the time windows, from the start of one read to the start of another, in
	 * which more bytes were read than the burst size and the rate limit of the weight
	 * store allow.
	 * @return the number of windows
	 */
	int windowsAboveRate() {
		int windows = 0;
		for (int from = 0; from < this.startedReads.size(); from++) {
			long bytes = 0;
			for (int to = from; to < this.startedReads.size(); to++) {
				bytes += this.startedReads.get(to).bytes();
				double seconds = (this.startedReads.get(to).timeNanos() - this.startedReads.get(from).timeNanos())
						/ SECOND_NANOS;
				windows += (bytes > BURST_BYTES + PlacementMeasurement.STORE_BYTES_PER_SECOND * seconds + 1) ? 1 : 0;
			}
		}
		return windows;
	}

	private record StartedRead(long timeNanos, long bytes) {

	}

}
