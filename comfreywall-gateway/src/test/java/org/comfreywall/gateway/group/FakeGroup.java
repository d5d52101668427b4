package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the engines of one group in virtual time. They run passes together and answer
 * orders as real engines do, but leave a share of the orders unanswered and execute these
 * 2 to 12 seconds later. A quarter of that share of the other orders is executed at once
 * but not answered either. Asserts in each pass that all ranks have the same map.
 */
final class FakeGroup {

	private static final long MILLI = 1_000_000;

	private static final long PASS_NANOS = 50 * MILLI;

	private static final long COPY_NANOS = 800 * MILLI;

	private final Random random;

	private final double lateShare;

	private final List<Rank> ranks = new ArrayList<>();

	private final PriorityQueue<LateOrder> lateOrders = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

	private long epoch = 1;

	private long step;

	private long nextPassAt = PASS_NANOS;

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
		while (!this.lateOrders.isEmpty() && this.lateOrders.peek().at <= now) {
			LateOrder order = this.lateOrders.poll();
			apply(order.rank, order.order, order.at);
		}
		while (this.nextPassAt <= now) {
			beginPass(this.nextPassAt);
			this.nextPassAt += PASS_NANOS;
		}
	}

	private void beginPass(long now) {
		long next = this.step + 1;
		boolean held = this.ranks.stream().anyMatch((rank) -> rank.heldStep == next);
		if (held) {
			this.heldSince = (this.heldSince < 0) ? now : this.heldSince;
			this.longestHold = Math.max(this.longestHold, now - this.heldSince);
			this.heldNanos += PASS_NANOS;
			return;
		}
		this.heldSince = -1;
		this.step = next;
		boolean changed = false;
		for (Rank rank : this.ranks) {
			if (rank.armedVersion != 0 && rank.armedStep <= this.step) {
				rank.mapVersion = rank.armedVersion;
				rank.armedVersion = 0;
				changed = true;
			}
		}
		this.switches += changed ? 1 : 0;
		long first = this.ranks.get(0).mapVersion;
		assertThat(this.ranks).as("maps at step %d", this.step).allMatch((rank) -> rank.mapVersion == first);
	}

	OrderAnswer handleOrder(int rank, EngineOrder order, long now) {
		if (this.random.nextDouble() < this.lateShare) {
			this.lateOrders.add(new LateOrder(now + (2000 + this.random.nextInt(10_000)) * MILLI, rank, order));
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
			if (prepare.version() == rank.preparingVersion && rank.armedVersion == 0) {
				return OrderAnswer.TAKEN;
			}
			if (rank.armedVersion != 0 || prepare.version() <= rank.highestVersion) {
				return OrderAnswer.REFUSED;
			}
			rank.highestVersion = prepare.version();
			rank.preparingVersion = prepare.version();
			rank.preparedAt = now + COPY_NANOS;
			return OrderAnswer.TAKEN;
		}
		if (order instanceof ArmMap arm) {
			if (rank.armedVersion == arm.version() && rank.armedStep == arm.step()) {
				return OrderAnswer.TAKEN;
			}
			if (rank.preparedVersion(now) != arm.version() || this.step >= arm.step()) {
				return OrderAnswer.REFUSED;
			}
			rank.armedVersion = arm.version();
			rank.armedStep = arm.step();
			return OrderAnswer.TAKEN;
		}
		if (order instanceof DisarmMap disarm) {
			if (rank.mapVersion == disarm.version()) {
				return OrderAnswer.REFUSED;
			}
			rank.armedVersion = (rank.armedVersion == disarm.version()) ? 0 : rank.armedVersion;
			return OrderAnswer.TAKEN;
		}
		if (order instanceof HoldStep hold) {
			if (this.step >= hold.step() || (rank.heldStep > this.step && rank.heldStep != hold.step())) {
				return OrderAnswer.REFUSED;
			}
			rank.heldStep = hold.step();
			return OrderAnswer.TAKEN;
		}
		ReleaseStep release = (ReleaseStep) order;
		rank.heldStep = (rank.heldStep == release.step()) ? -1 : rank.heldStep;
		return OrderAnswer.TAKEN;
	}

	/**
	 * Simulates a crash of a rank, after which the group is formed again.
	 */
	void simulateRankCrash() {
		this.epoch++;
		this.heldSince = -1;
		for (int i = 0; i < this.ranks.size(); i++) {
			this.ranks.set(i, new Rank());
		}
	}

	RankReport report(int number, long now) {
		Rank rank = this.ranks.get(number);
		OptionalLong held = (rank.heldStep > this.step) ? OptionalLong.of(rank.heldStep) : OptionalLong.empty();
		return new RankReport("s" + number, "g", this.epoch, number, this.ranks.size(), true, this.step,
				rank.mapVersion, rank.preparedVersion(now), rank.armedVersion, held, List.of(List.of(number)), 1);
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
	 * Returns the total time that passes were held, in nanoseconds, counted in whole
	 * passes.
	 */
	long heldNanos() {
		return this.heldNanos;
	}

	private record LateOrder(long at, int rank, EngineOrder order) {
	}

	/** One engine. */
	private static final class Rank {

		private long mapVersion;

		private long highestVersion;

		private long preparingVersion;

		private long preparedAt;

		private long armedVersion;

		private long armedStep;

		private long heldStep = -1;

		private long preparedVersion(long now) {
			return (now >= this.preparedAt) ? this.preparingVersion : 0;
		}

	}

}
