package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PauseLimit}: 100 servers with 4 slots each, passes of 50 ms without
 * any request, and a target of 150 ms, of which 135 ms are usable.
 */
class PauseLimitTests {

	private static final int SLOTS = 400;

	private static final long MILLI = 1_000_000;

	private final PauseLimit limit = new PauseLimit(Duration.ofMillis(150), Duration.ofMillis(50));

	private long now;

	// All streams see the same passes.
	private void pass(long pauseMillis, int inFlight) {
		this.now += pauseMillis * MILLI;
		for (int stream = 0; stream < 10; stream++) {
			this.limit.recordPause(pauseMillis * MILLI, () -> inFlight, this.now + stream);
		}
	}

	private void passes(int count, long pauseMillis, int inFlight) {
		for (int i = 0; i < count; i++) {
			pass(pauseMillis, inFlight);
		}
	}

	private int limit() {
		return this.limit.limit(SLOTS, this.now).orElse(Integer.MAX_VALUE);
	}

	@Test
	void thereIsNoLimitWithoutMeasurements() {
		assertThat(limit()).isEqualTo(Integer.MAX_VALUE);
	}

	@Test
	void longPausesLimitTheRequestsInProportionToTheirCost() {
		passes(4, 150, 400);
		// 100 ms for 400 requests; 85 ms are usable.
		assertThat(limit()).isEqualTo(340);
	}

	@Test
	void shortPausesLimitNothing() {
		passes(4, 90, 300);
		assertThat(limit()).isGreaterThan(SLOTS);
	}

	@Test
	void theCostOfTheLastSecondsCountsWhilePassesAreShortAgain() {
		passes(4, 150, 400);
		passes(30, 100, 340);
		assertThat(limit()).isEqualTo(340);
		passes(30, 100, 340);
		assertThat(limit()).isGreaterThan(SLOTS);
	}

	/**
	 * Prompts that are read and copies of experts lengthen passes however few requests.
	 */
	@Test
	void pausesOfAGroupWithFewRequestsLimitNothing() {
		passes(4, 85, 95);
		assertThat(limit()).isEqualTo(Integer.MAX_VALUE);
		passes(4, 100, 350);
		assertThat(limit()).isGreaterThan(SLOTS);
	}

	/** Or the streams that are open at the first shift of a rising load would be late. */
	@Test
	void pausesOfAGroupThatIsAThirdFullCount() {
		passes(4, 90, 135);
		assertThat(limit()).isBetween(SLOTS / 2, SLOTS - 1);
	}

	@Test
	void aPauseThatOnlyThisProcessMadeLimitsNothing() {
		passes(4, 90, 300);
		pass(200, 300);
		passes(4, 90, 300);
		assertThat(limit()).isGreaterThan(SLOTS);
	}

	@Test
	void partsThatWereSplitOrJoinedAreNoPasses() {
		for (int i = 0; i < 20; i++) {
			this.now += 100 * MILLI;
			for (int stream = 0; stream < 10; stream++) {
				long millis = (stream == 0) ? 0 : (stream == 1) ? 200 : 100;
				this.limit.recordPause(millis * MILLI, () -> 300, this.now);
			}
		}
		assertThat(limit()).isEqualTo(510);
	}

	@Test
	void aTargetThatIsOutOfReachLimitsNothing() {
		passes(4, 150, 400);
		passes(4, 700, 400);
		assertThat(limit()).isEqualTo(Integer.MAX_VALUE);
		passes(4, 100, 340);
		assertThat(limit()).isEqualTo(340);
	}

	/** A group of 192 ranks with four slots each at 330 requests a second. */
	@Nested
	class PlayedLoad {

		// What callers say that a stream is worth to them.
		private static final double ON_TIME = 2;

		private static final double LATE = 0.5;

		private StreamSimulation play(boolean limited) {
			StreamSimulation simulation = new StreamSimulation(192, 4, limited, new Random(11));
			simulation.simulate(330, Duration.ofSeconds(40));
			return simulation;
		}

		private double worth(StreamSimulation simulation) {
			return ON_TIME * simulation.onTime() + LATE * simulation.late();
		}

		@Test
		void callersGetMoreWhileOtherExpertsAreChosenEveryFewSeconds() {
			StreamSimulation unlimited = play(false);
			StreamSimulation limited = play(true);
			assertThat(worth(limited)).isGreaterThan(worth(unlimited));
			assertThat(limited.onTime()).isGreaterThan(unlimited.onTime());
			assertThat(limited.late()).isLessThan(limited.onTime() / 20);
		}

	}

}
