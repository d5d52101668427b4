package org.comfreywall.group.moves;

import java.util.Arrays;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

import org.comfreywall.group.placement.ExpertMove;

/**
 * The state of a plan and of each of its moves.
 */
final class PlanProgress {

	private final MovePlan plan;

	private final MoveState[] states;

	private final int[] attempts;

	private final long[] startedAt;

	private boolean saved;

	PlanProgress(MovePlan plan, Set<Integer> staged) {
		this.plan = plan;
		this.states = new MoveState[plan.moves().size()];
		this.attempts = new int[this.states.length];
		this.startedAt = new long[this.states.length];
		Arrays.setAll(this.states, (index) -> staged.contains(index) ? MoveState.STAGED : MoveState.PENDING);
	}

	PlanId id() {
		return this.plan.id();
	}

	ExpertMove move(int index) {
		return this.plan.moves().get(index);
	}

	MoveId moveId(int index) {
		return new MoveId(this.plan.id(), index);
	}

	boolean isSaved() {
		return this.saved;
	}

	void markSaved() {
		this.saved = true;
	}

	boolean hasMove(int index) {
		return index < this.states.length;
	}

	MoveState state(int index) {
		return this.states[index];
	}

	int attempts(int index) {
		return this.attempts[index];
	}

	void markReading(int index, long now) {
		this.states[index] = MoveState.READING;
		this.startedAt[index] = now;
		this.attempts[index]++;
	}

	void markStaged(int index) {
		this.states[index] = MoveState.STAGED;
	}

	void requeue(int index) {
		this.states[index] = MoveState.PENDING;
	}

	boolean isFullyStaged() {
		return Arrays.stream(this.states).allMatch((state) -> state == MoveState.STAGED);
	}

	boolean hasStaged(ExpertMove required) {
		return IntStream.range(0, this.states.length)
			.anyMatch((index) -> this.states[index] == MoveState.STAGED && isSameRead(move(index), required));
	}

	private static boolean isSameRead(ExpertMove left, ExpertMove right) {
		return left.layer() == right.layer() && left.rank() == right.rank() && left.slot() == right.slot()
				&& left.expert() == right.expert();
	}

	void forEachInState(MoveState state, IntConsumer action) {
		for (int index = 0; index < this.states.length; index++) {
			if (this.states[index] == state) {
				action.accept(index);
			}
		}
	}

	long readStartedAt(int index) {
		return this.startedAt[index];
	}

	/**
	 * Returns the pending move with the greatest gain per byte.
	 * @return its index, or -1 if none is pending
	 */
	int nextPendingMove() {
		int best = -1;
		for (int index = 0; index < this.states.length; index++) {
			if (this.states[index] == MoveState.PENDING
					&& (best < 0 || move(index).gainPerByte() > move(best).gainPerByte())) {
				best = index;
			}
		}
		return best;
	}

}
