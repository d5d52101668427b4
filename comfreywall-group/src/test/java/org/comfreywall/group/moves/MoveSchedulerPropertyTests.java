package org.comfreywall.group.moves;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.placement.ExpertMove;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Seeded property tests of {@link MoveScheduler} with coordinator restarts, lost replies
 * and replaced plans.
 */
class MoveSchedulerPropertyTests {

	private static final int STEPS = 3000;

	private static final double RATE = 1000;

	private static final long BURST = 400;

	private final Map<PlanId, MovePlan> durable = new HashMap<>();

	private final Map<PlanId, Set<Integer>> staged = new HashMap<>();

	private final Set<PlanId> complete = new HashSet<>();

	private final List<MoveId> reading = new ArrayList<>();

	private final List<Grant> grants = new ArrayList<>();

	private final Invariants invariants = new Invariants();

	private MoveScheduler scheduler;

	private Random random;

	private long now;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void neverExceedsTheRateAndCompletesAllPlansOnceNoReplyIsLost(long seed) {
		this.random = new Random(seed);
		restart();
		for (int step = 0; step < STEPS; step++) {
			this.now += (long) (this.random.nextDouble() * 5e7);
			step(step);
		}
		for (int step = 0; step < STEPS && !this.durable.isEmpty(); step++) {
			this.now += (long) 5e7;
			completeAllReads();
			handle(new MoveEvent.Tick());
		}
		assertThat(this.durable).isEmpty();
		assertThat(this.complete).isNotEmpty();
		assertThat(this.invariants.violations()).isZero();
		assertRateIsNeverExceeded();
	}

	private void step(int number) {
		int choice = this.random.nextInt(100);
		if (choice < 4) {
			GroupId group = GroupId.of("g" + this.random.nextInt(3));
			handle(new MoveEvent.PlanAccepted(new MovePlan(new PlanId(group, number), randomMoves())));
		}
		else if (choice < 5) {
			restart();
		}
		else if (choice < 50 && !this.reading.isEmpty()) {
			completeRead(this.reading.remove(this.random.nextInt(this.reading.size())), this.random.nextInt(10));
		}
		else {
			handle(new MoveEvent.Tick());
		}
	}

	private List<ExpertMove> randomMoves() {
		List<ExpertMove> moves = new ArrayList<>();
		int count = this.random.nextInt(8);
		for (int index = 0; index < count; index++) {
			moves.add(new ExpertMove(index, this.random.nextInt(3), 0, this.random.nextInt(3),
					1 + this.random.nextInt((int) BURST), this.random.nextDouble()));
		}
		return moves;
	}

	private void restart() {
		WeightStoreBucket bucket = new WeightStoreBucket(RATE, BURST, this.now);
		this.scheduler = new MoveScheduler(new MoveSchedulerSettings(Duration.ofSeconds(3), 100, 8), bucket,
				DecisionListener.NONE, this.invariants);
		List.copyOf(this.durable.values())
			.forEach((plan) -> handle(
					new MoveEvent.PlanRecovered(plan, this.staged.getOrDefault(plan.id(), new TreeSet<>()))));
	}

	private void completeAllReads() {
		List<MoveId> pending = List.copyOf(this.reading);
		this.reading.clear();
		pending.forEach((move) -> completeRead(move, 9));
	}

	private void completeRead(MoveId move, int chance) {
		if (chance == 0) {
			return;
		}
		if (chance == 1) {
			handle(new MoveEvent.MoveFailed(move));
			return;
		}
		this.staged.computeIfAbsent(move.plan(), (plan) -> new TreeSet<>()).add(move.index());
		handle(new MoveEvent.MoveStaged(move));
	}

	private void handle(MoveEvent event) {
		for (MoveCommand command : this.scheduler.handle(event, this.now)) {
			execute(command);
		}
	}

	private void execute(MoveCommand command) {
		if (command instanceof MoveCommand.SavePlan save) {
			this.durable.put(save.plan().id(), save.plan());
			handle(new MoveEvent.PlanSaved(save.plan().id()));
		}
		else if (command instanceof MoveCommand.DropPlan drop) {
			this.durable.remove(drop.plan());
		}
		else if (command instanceof MoveCommand.PlanStaged done) {
			assertThat(this.durable).containsKey(done.plan());
			assertThat(this.complete.add(done.plan())).isTrue();
			this.durable.remove(done.plan());
		}
		else if (command instanceof MoveCommand.StartRead read) {
			assertThat(this.durable).containsKey(read.id().plan());
			this.grants.add(new Grant(this.now, read.move().bytes()));
			this.reading.add(read.id());
		}
	}

	private void assertRateIsNeverExceeded() {
		assertThat(this.grants).isNotEmpty();
		for (int from = 0; from < this.grants.size(); from++) {
			long bytes = 0;
			for (int to = from; to < this.grants.size(); to++) {
				bytes += this.grants.get(to).bytes();
				double seconds = (this.grants.get(to).at() - this.grants.get(from).at()) / 1e9;
				assertThat((double) bytes).isLessThanOrEqualTo(BURST + RATE * seconds + 1e-3);
			}
		}
	}

	private record Grant(long at, long bytes) {

	}

}
