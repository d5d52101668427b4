package org.comfreywall.gateway.group;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MapSwitch} with engines that leave some orders unanswered and execute
 * them late. {@link FakeGroup} asserts in every pass that all ranks have the same map.
 */
class MapSwitchTests {

	private static final long MILLI = 1_000_000;

	private static final long TICK = 20 * MILLI;

	private static final ExpertLayout LAYOUT = ExpertLayout.roundRobin(1, 4, 4);

	private MapSwitch mapSwitch = new MapSwitch();

	private long term = 1;

	private void run(FakeGroup group, Random random, long seconds, double leaderChangePerTick, double crashPerTick) {
		run(group, random, seconds, leaderChangePerTick, crashPerTick, 240 * MILLI);
	}

	// Runs coordinator and group; the two probabilities are those of a change of the
	// leader and of a crash of a rank in each tick.
	private void run(FakeGroup group, Random random, long seconds, double leaderChangePerTick, double crashPerTick,
			long reportIntervalNanos) {
		for (long now = 0; now < seconds * 1000 * MILLI; now += TICK) {
			group.advance(now);
			if (now % reportIntervalNanos == 0) {
				for (int rank = 0; rank < group.size(); rank++) {
					this.mapSwitch.addReport(group.report(rank, now), now);
				}
			}
			if (random.nextDouble() < leaderChangePerTick) {
				this.mapSwitch = new MapSwitch();
				this.term++;
			}
			if (random.nextDouble() < crashPerTick) {
				group.simulateRankCrash();
			}
			if (this.mapSwitch.canStart(now)) {
				this.mapSwitch.start(LAYOUT, this.term, now);
			}
			for (RankOrder order : orders(now)) {
				this.mapSwitch.handleAnswer(order, group.handleOrder(order.rank(), order.order(), now), now);
			}
		}
	}

	// Simulates a deputy that confirms each switch at once.
	private List<RankOrder> orders(long now) {
		List<RankOrder> orders = new ArrayList<>(this.mapSwitch.tick(now));
		this.mapSwitch.delegatedSwitch("g").ifPresent((delegatedSwitch) -> {
			this.mapSwitch.handleDelegationConfirmed(delegatedSwitch, now);
			orders.addAll(this.mapSwitch.tick(now));
		});
		return orders;
	}

	@Test
	void switchesWithoutHoldingPassesForLong() {
		FakeGroup group = new FakeGroup(4, 0, new Random(1));
		run(group, new Random(1), 60, 0, 0);
		assertThat(group.switches()).isGreaterThan(15);
		assertThat(group.longestHold()).isLessThan(200 * MILLI);
	}

	/**
	 * The map of a large group is long. Sent to all ranks again and again while they
	 * copy, it keeps the coordinator busy until the switch is given up.
	 */
	@Test
	void aRankThatTookAMapIsNotSentItAgain() {
		assertIsPreparedWithOneOrderForEachRank(OrderAnswer.TAKEN);
	}

	@Test
	void aMapIsSentToAFewRanksOfALargeGroupAtOnce() {
		FakeGroup group = new FakeGroup(100, 0, new Random(1));
		group.advance(0);
		for (int rank = 0; rank < group.size(); rank++) {
			this.mapSwitch.addReport(group.report(rank, 0), 0);
		}
		long now = 100 * MILLI;
		for (int rank = 0; rank < group.size(); rank++) {
			this.mapSwitch.addReport(group.report(rank, now), now);
		}
		this.mapSwitch.start(ExpertLayout.roundRobin(1, 100, 100), this.term, now);
		int sent = 0;
		List<RankOrder> due = orders(now);
		while (!due.isEmpty()) {
			assertThat(due).hasSizeLessThanOrEqualTo(32);
			assertThat(orders(now)).isEmpty();
			sent += due.size();
			for (RankOrder order : due) {
				this.mapSwitch.handleAnswer(order, OrderAnswer.TAKEN, now);
			}
			due = orders(now);
		}
		assertThat(sent).isEqualTo(group.size());
	}

	/** A rank refuses a version that it has taken before, when its answer was lost. */
	@Test
	void aRankThatRefusesAMapIsNotSentItAgain() {
		assertIsPreparedWithOneOrderForEachRank(OrderAnswer.REFUSED);
	}

	private void assertIsPreparedWithOneOrderForEachRank(OrderAnswer answer) {
		FakeGroup group = new FakeGroup(4, 0, new Random(1));
		List<RankOrder> prepared = new ArrayList<>();
		for (long now = 0; now < 780 * MILLI; now += TICK) {
			group.advance(now);
			for (int rank = 0; rank < group.size(); rank++) {
				this.mapSwitch.addReport(group.report(rank, now), now);
			}
			if (this.mapSwitch.canStart(now)) {
				this.mapSwitch.start(LAYOUT, this.term, now);
			}
			for (RankOrder order : orders(now)) {
				prepared.add(order);
				assertThat(group.handleOrder(order.rank(), order.order(), now)).isEqualTo(OrderAnswer.TAKEN);
				this.mapSwitch.handleAnswer(order, answer, now);
			}
		}
		assertThat(prepared).hasSize(group.size()).allMatch((order) -> order.order() instanceof PrepareMap);
	}

	/**
	 * Ranks copy for 800 ms; a prepared map must come into force within six passes of 50
	 * ms.
	 */
	@Test
	void aPreparedMapComesIntoForceWithinAFewPasses() {
		FakeGroup group = new FakeGroup(4, 0, new Random(1));
		run(group, new Random(1), 60, 0, 0, 40 * MILLI);
		assertThat(group.switches()).isGreaterThan(60_000 / (800 + 6 * 50));
		assertThat(group.longestHold()).isLessThan(100 * MILLI);
	}

	/**
	 * Guards against held passes that are delayed by lost orders. One order in ten gets
	 * no answer, which is detected after 50 ms. A resent order must arrive before its
	 * pass is due, so that a switch delays passes by less than one pass of 50 ms on
	 * average.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 41, 42, 43, 44 })
	void lostOrdersDelayFewPasses(long seed) {
		FakeGroup group = new FakeGroup(16, 0.1, new Random(seed));
		Deque<Runnable> timeouts = new ArrayDeque<>();
		Deque<Long> timeoutAt = new ArrayDeque<>();
		for (long now = 0; now < 120_000 * MILLI; now += 10 * MILLI) {
			group.advance(now);
			for (int rank = 0; rank < group.size() && now % (40 * MILLI) == 0; rank++) {
				this.mapSwitch.addReport(group.report(rank, now), now);
			}
			while (!timeoutAt.isEmpty() && timeoutAt.peek() <= now) {
				timeoutAt.poll();
				timeouts.poll().run();
			}
			if (this.mapSwitch.canStart(now)) {
				this.mapSwitch.start(ExpertLayout.roundRobin(1, 16, 16), this.term, now);
			}
			long at = now;
			for (RankOrder order : orders(now)) {
				OrderAnswer answer = group.handleOrder(order.rank(), order.order(), now);
				if (answer == OrderAnswer.UNKNOWN) {
					timeoutAt.add(now + 50 * MILLI);
					timeouts.add(() -> this.mapSwitch.handleAnswer(order, answer, at + 50 * MILLI));
				}
				else {
					this.mapSwitch.handleAnswer(order, answer, now);
				}
			}
		}
		assertThat(group.switches()).isGreaterThan(40);
		assertThat(group.heldNanos() / group.switches()).isLessThan(50 * MILLI);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void allRanksKeepTheSameMapWhileOrdersAreLate(long seed) {
		FakeGroup group = new FakeGroup(4, 0.35, new Random(seed));
		run(group, new Random(seed), 200, 0, 0);
		assertThat(group.switches()).isGreaterThan(5);
	}

	@ParameterizedTest
	@ValueSource(longs = { 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32 })
	void keepsTheSameMapAndReleasesEveryPassAcrossCoordinatorChanges(long seed) {
		FakeGroup group = new FakeGroup(4, 0.2, new Random(seed));
		run(group, new Random(seed), 200, 0.004, 0.001);
		assertThat(group.longestHold()).isLessThan(15_000 * MILLI);
	}

	@Test
	void aSwitchContinuesWithoutADeputyAfterATimeout() {
		FakeGroup group = new FakeGroup(4, 0, new Random(1));
		for (long now = 0; now < 5_000 * MILLI; now += TICK) {
			group.advance(now);
			for (int rank = 0; rank < group.size(); rank++) {
				this.mapSwitch.addReport(group.report(rank, now), now);
			}
			if (this.mapSwitch.canStart(now)) {
				this.mapSwitch.start(LAYOUT, this.term, now);
			}
			for (RankOrder order : this.mapSwitch.tick(now)) {
				this.mapSwitch.handleAnswer(order, group.handleOrder(order.rank(), order.order(), now), now);
			}
		}
		assertThat(group.switches()).isPositive();
	}

	@Test
	void ordersOfAnotherEpochAreRefused() {
		FakeGroup group = new FakeGroup(4, 0, new Random(1));
		assertThat(group.handleOrder(0, new PrepareMap(0, 1, LAYOUT), 0)).isEqualTo(OrderAnswer.REFUSED);
	}

	@Test
	void aReportOfAnEarlierEpochIsIgnored() {
		RankReport earlier = new RankReport("s", "g", 1, 0, 1, true, 5, 0, 0, 0, OptionalLong.empty(),
				List.of(List.of(0)), 1);
		RankReport current = new RankReport("s", "g", 2, 0, 1, true, 1, 0, 0, 0, OptionalLong.empty(),
				List.of(List.of(0)), 1);
		this.mapSwitch.addReport(current, 0);
		this.mapSwitch.addReport(earlier, 1);
		assertThat(this.mapSwitch.canStart(1)).isFalse();
		this.mapSwitch.addReport(current, 100 * MILLI);
		this.mapSwitch.addReport(earlier, 101 * MILLI);
		assertThat(this.mapSwitch.canStart(2_000 * MILLI)).isTrue();
	}

}
