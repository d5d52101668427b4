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
 * Carries out the commands of a move scheduler in simulated time; every read takes one
 * step of the clock.
 */
final class MoveRun {

	static final int NO_CRASH = Integer.MAX_VALUE;

	private static final long STEP_NANOS = 10_000_000;

	private static final double SECOND_NANOS = 1e9;

	private static final int MAXIMUM_STEPS = 1_000_000;

	private static final long BURST_BYTES = 64L << 20;

	private final Map<PlanId, MovePlan> durable = new LinkedHashMap<>();

	private final Map<PlanId, Set<Integer>> staged = new LinkedHashMap<>();

	private final List<Grant> grants = new ArrayList<>();

	private final int crashAfter;

	private List<MoveId> reading = new ArrayList<>();

	private MoveScheduler scheduler;

	private long now;

	private int readsOutOfOrder;

	MoveRun(int crashAfter) {
		this.crashAfter = crashAfter;
	}

	void start(MovePlan... plans) {
		startScheduler();
		for (MovePlan plan : plans) {
			handle(new MoveEvent.PlanAccepted(plan));
		}
		boolean crashed = false;
		for (int step = 0; step < MAXIMUM_STEPS && !this.durable.isEmpty(); step++) {
			this.now += STEP_NANOS;
			if (!crashed && this.grants.size() >= this.crashAfter) {
				crashed = true;
				crash();
			}
			answerReads();
			handle(new MoveEvent.Tick());
		}
	}

	private void startScheduler() {
		this.scheduler = new MoveScheduler(MoveSchedulerSettings.DEFAULT,
				new WeightStoreBucket(PlacementMeasurement.STORE_RATE, BURST_BYTES, this.now), DecisionListener.NONE,
				new Invariants());
	}

	// Answers on their way to the old coordinator are lost.
	private void crash() {
		this.reading.clear();
		startScheduler();
		List.copyOf(this.durable.values())
			.forEach((plan) -> handle(
					new MoveEvent.PlanRecovered(plan, this.staged.getOrDefault(plan.id(), new TreeSet<>()))));
	}

	private void answerReads() {
		List<MoveId> done = this.reading;
		this.reading = new ArrayList<>();
		for (MoveId move : done) {
			this.staged.computeIfAbsent(move.plan(), (plan) -> new TreeSet<>()).add(move.index());
			handle(new MoveEvent.MoveStaged(move));
		}
	}

	private void handle(MoveEvent event) {
		this.scheduler.handle(event, this.now).forEach(this::carryOut);
	}

	private void carryOut(MoveCommand command) {
		if (command instanceof MoveCommand.SavePlan save) {
			this.durable.put(save.plan().id(), save.plan());
			handle(new MoveEvent.PlanSaved(save.plan().id()));
		}
		else if (command instanceof MoveCommand.PlanStaged done) {
			this.durable.remove(done.plan());
		}
		else if (command instanceof MoveCommand.StartRead read) {
			countOrder(read);
			this.grants.add(new Grant(this.now, read.move().bytes()));
			this.reading.add(read.id());
		}
	}

	// A read is out of order if a move of greater worth a byte was neither read nor
	// staged.
	private void countOrder(MoveCommand.StartRead read) {
		for (MovePlan plan : this.durable.values()) {
			for (int index = 0; index < plan.moves().size(); index++) {
				MoveId other = new MoveId(plan.id(), index);
				boolean waiting = !this.reading.contains(other)
						&& !this.staged.getOrDefault(plan.id(), Set.of()).contains(index);
				if (waiting && plan.moves().get(index).gainPerByte() > read.move().gainPerByte()) {
					this.readsOutOfOrder++;
					return;
				}
			}
		}
	}

	int reads() {
		return this.grants.size();
	}

	long bytes() {
		return this.grants.stream().mapToLong(Grant::bytes).sum();
	}

	double seconds() {
		return this.now / SECOND_NANOS;
	}

	int unfinished() {
		return this.durable.size();
	}

	int readsOutOfOrder() {
		return this.readsOutOfOrder;
	}

	int windowsAboveRate() {
		int above = 0;
		for (int from = 0; from < this.grants.size(); from++) {
			long bytes = 0;
			for (int to = from; to < this.grants.size(); to++) {
				bytes += this.grants.get(to).bytes();
				double seconds = (this.grants.get(to).at() - this.grants.get(from).at()) / SECOND_NANOS;
				above += (bytes > BURST_BYTES + PlacementMeasurement.STORE_RATE * seconds + 1) ? 1 : 0;
			}
		}
		return above;
	}

	private record Grant(long at, long bytes) {

	}

}
