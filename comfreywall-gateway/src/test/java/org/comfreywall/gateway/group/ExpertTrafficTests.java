package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ExpertTraffic}.
 */
class ExpertTrafficTests {

	private static final int RANKS = 4;

	private final ExpertTraffic traffic = new ExpertTraffic(1, 8);

	private static final long MILLI = 1_000_000;

	private long step;

	private long now;

	private static List<Integer> counts(int popular) {
		List<Integer> counts = new ArrayList<>();
		for (int expert = 0; expert < 8; expert++) {
			counts.add((expert == popular) ? 100 : 10);
		}
		return counts;
	}

	private void reportPasses(int popular, int passes) {
		for (int i = 0; i < passes; i++) {
			this.step++;
			this.now += 50 * MILLI;
			for (int rank = 0; rank < RANKS; rank++) {
				this.traffic.addReport(rank, RANKS, this.step, counts(popular), this.now);
			}
		}
	}

	@Test
	void sumsAllRoundsWhileTheLoadIsStable() {
		reportPasses(0, 10);
		TrafficForecast forecast = this.traffic.forecast();
		assertThat(forecast.rounds()).isEqualTo(10);
		assertThat(forecast.drift()).isLessThan(0.01);
		assertThat(forecast.choiceCounts()[0][0]).isGreaterThan(5 * forecast.choiceCounts()[0][1]);
	}

	@Test
	void onePassAfterAShiftDiscardsEarlierRounds() {
		reportPasses(0, 20);
		reportPasses(5, 1);
		TrafficForecast forecast = this.traffic.forecast();
		assertThat(forecast.rounds()).isEqualTo(1);
		assertThat(forecast.choiceCounts()[0][5]).isGreaterThan(5 * forecast.choiceCounts()[0][0]);
	}

	@Test
	void aRankThatIsOnePassBehindDoesNotHideAShift() {
		reportPasses(0, 20);
		this.step++;
		for (int rank = 1; rank < RANKS; rank++) {
			this.traffic.addReport(rank, RANKS, this.step, counts(5), this.now);
		}
		assertThat(this.traffic.forecast().choiceCounts()[0][0])
			.isGreaterThan(5 * this.traffic.forecast().choiceCounts()[0][5]);
		this.traffic.addReport(0, RANKS, this.step, counts(5), this.now);
		assertThat(this.traffic.forecast().choiceCounts()[0][5])
			.isGreaterThan(5 * this.traffic.forecast().choiceCounts()[0][0]);
	}

	@Test
	void aRankWithLateReportsDoesNotHideAShift() {
		reportPasses(0, 20);
		for (int pass = 0; pass < 12; pass++) {
			this.step++;
			this.now += 50 * MILLI;
			for (int rank = 1; rank < RANKS; rank++) {
				this.traffic.addReport(rank, RANKS, this.step, counts(5), this.now);
			}
		}
		assertThat(this.traffic.forecast().choiceCounts()[0][5])
			.isGreaterThan(5 * this.traffic.forecast().choiceCounts()[0][0]);
		long rounds = this.traffic.completedRounds();
		this.traffic.addReport(0, RANKS, 20, counts(0), this.now);
		assertThat(this.traffic.completedRounds()).isEqualTo(rounds);
	}

	@Test
	void noiseOfFewRequestsIsNoShift() {
		Random random = new Random(3);
		for (int pass = 1; pass <= 60; pass++) {
			for (int rank = 0; rank < RANKS; rank++) {
				List<Integer> counts = new ArrayList<>();
				for (int expert = 0; expert < 8; expert++) {
					counts.add((int) (((expert == 2) ? 300 : 100) * (0.7 + 0.6 * random.nextDouble())));
				}
				this.traffic.addReport(rank, RANKS, pass, counts, pass * 50 * MILLI);
			}
		}
		assertThat(this.traffic.forecast().rounds()).isGreaterThan(12);
	}

	@Test
	void reportsWithoutCountsAreIgnored() {
		reportPasses(0, 3);
		this.traffic.addReport(0, RANKS, this.step + 1, List.of(), this.now);
		assertThat(this.traffic.completedRounds()).isEqualTo(3);
	}

}
