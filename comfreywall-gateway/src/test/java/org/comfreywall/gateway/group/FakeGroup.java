package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the engines of one group in virtual time. They run passes together and answer
 * orders as real engines do, but leave a share of the orders unanswered and carry these
 * out seconds later. Asserts in each pass that all ranks have the same map.
 */
final class FakeGroup {

	private static final long MILLI = 1_000_000;

	private static final long PASS = 50 * MILLI;

	private static final long COPY = 800 * MILLI;

	private final Random random;

	private final double lateShare;

	private final List<Rank> ranks = new ArrayList<>();

	private final PriorityQueue<LateOrder> late = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

	private long epoch = 1;

	private long step;

	private long nextPass = PASS;

	private long heldSince = -1;

	private long longestHold;

	private long heldNanos;

	private int switches;

	FakeGroup(int size, double lateShare, Random random) {
		this.random = random;
		this.lateShare = lateShare;
		for (int i = 0; i < size; i++) {
			this.ranks.add(new Rank());
		}
	}

	void advance(long now) {
		while (!this.late.isEmpty() && this.late.peek().at <= now) {
			LateOrder order = this.late.poll();
			apply(order.rank, order.order, order.at);
		}
		while (this.nextPass <= now) {
			beginPass(this.nextPass);
			this.nextPass += PASS;
		}
	}

	private void beginPass(long now) {
		long next = this.step + 1;
		boolean held = this.ranks.stream().anyMatch((rank) -> rank.held == next);
		if (held) {
			this.heldSince = (this.heldSince < 0) ? now : this.heldSince;
			this.longestHold = Math.max(this.longestHold, now - this.heldSince);
			this.heldNanos += PASS;
			return;
		}
		this.heldSince = -1;
		this.step = next;
		boolean changed = false;
		for (Rank rank : this.ranks) {
			if (rank.armed != 0 && rank.armedStep <= this.step) {
				rank.map = rank.armed;
				rank.armed = 0;
				changed = true;
			}
		}
		this.switches += changed ? 1 : 0;
		long first = this.ranks.get(0).map;
		assertThat(this.ranks).as("maps at step %d", this.step).allMatch((rank) -> rank.map == first);
	}

	OrderAnswer order(int rank, EngineOrder order, long now) {
		if (this.random.nextDouble() < this.lateShare) {
			this.late.add(new LateOrder(now + (2000 + this.random.nextInt(10_000)) * MILLI, rank, order));
			return OrderAnswer.UNKNOWN;
		}
		OrderAnswer answer = apply(rank, order, now);
		return (this.random.nextDouble() < this.lateShare / 4) ? OrderAnswer.UNKNOWN : answer;
	}

	private OrderAnswer apply(int number, EngineOrder order, long now) {
		Rank rank = this.ranks.get(number);
		if (order.epoch() != this.epoch) {
			return OrderAnswer.REFUSED;
		}
		if (order instanceof PrepareMap prepare) {
			if (prepare.version() == rank.preparing && rank.armed == 0) {
				return OrderAnswer.TAKEN;
			}
			if (rank.armed != 0 || prepare.version() <= rank.highest) {
				return OrderAnswer.REFUSED;
			}
			rank.highest = prepare.version();
			rank.preparing = prepare.version();
			rank.preparedAt = now + COPY;
			return OrderAnswer.TAKEN;
		}
		if (order instanceof ArmMap arm) {
			if (rank.armed == arm.version() && rank.armedStep == arm.step()) {
				return OrderAnswer.TAKEN;
			}
			if (rank.prepared(now) != arm.version() || this.step >= arm.step()) {
				return OrderAnswer.REFUSED;
			}
			rank.armed = arm.version();
			rank.armedStep = arm.step();
			return OrderAnswer.TAKEN;
		}
		if (order instanceof DisarmMap disarm) {
			if (rank.map == disarm.version()) {
				return OrderAnswer.REFUSED;
			}
			rank.armed = (rank.armed == disarm.version()) ? 0 : rank.armed;
			return OrderAnswer.TAKEN;
		}
		if (order instanceof HoldStep hold) {
			if (this.step >= hold.step() || (rank.held > this.step && rank.held != hold.step())) {
				return OrderAnswer.REFUSED;
			}
			rank.held = hold.step();
			return OrderAnswer.TAKEN;
		}
		ReleaseStep release = (ReleaseStep) order;
		rank.held = (rank.held == release.step()) ? -1 : rank.held;
		return OrderAnswer.TAKEN;
	}

	/**
	 * Simulates a crash of a rank, after which the group is formed again.
	 */
	void reform() {
		this.epoch++;
		this.heldSince = -1;
		for (int i = 0; i < this.ranks.size(); i++) {
			this.ranks.set(i, new Rank());
		}
	}

	RankReport report(int number, long now) {
		Rank rank = this.ranks.get(number);
		OptionalLong held = (rank.held > this.step) ? OptionalLong.of(rank.held) : OptionalLong.empty();
		return new RankReport("s" + number, "g", this.epoch, number, this.ranks.size(), true, this.step, rank.map,
				rank.prepared(now), rank.armed, held, List.of(List.of(number)), 1);
	}

	int size() {
		return this.ranks.size();
	}

	int switches() {
		return this.switches;
	}

	long longestHold() {
		return this.longestHold;
	}

	/**
	 * Returns how long passes were held, counted in whole passes.
	 */
	long heldNanos() {
		return this.heldNanos;
	}

	private record LateOrder(long at, int rank, EngineOrder order) {
	}

	/** One engine. */
	private static final class Rank {

		private long map;

		private long highest;

		private long preparing;

		private long preparedAt;

		private long armed;

		private long armedStep;

		private long held = -1;

		private long prepared(long now) {
			return (now >= this.preparedAt) ? this.preparing : 0;
		}

	}

}
