package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlanSchedule}, with rounds of one rank.
 */
class PlanScheduleTests {

	private static final int EXPERTS = 8;

	private static final double[] SLOWDOWNS = { 1 };

	private static final long ROUND_NANOS = 100_000_000;

	private final PlanSchedule schedule = new PlanSchedule();

	private final ExpertTraffic traffic = new ExpertTraffic(1, EXPERTS);

	private long step;

	private int plansIn(int rounds, int popular) {
		int plans = 0;
		for (int i = 0; i < rounds; i++) {
			round(popular);
			if (this.schedule.isDue(this.traffic, SLOWDOWNS)) {
				this.schedule.recordPlan(this.traffic, SLOWDOWNS);
				plans++;
			}
		}
		return plans;
	}

	private void round(int popular) {
		List<Integer> chosen = new ArrayList<>();
		for (int expert = 0; expert < EXPERTS; expert++) {
			chosen.add((expert == popular) ? 9000 : 1000);
		}
		this.step++;
		this.traffic.addReport(0, 1, this.step, chosen, this.step * ROUND_NANOS);
	}

	/**
	 * Plans are due after rounds 1, 2, 4, 8 and 16, and then after 16 new rounds each.
	 */
	@Test
	void plansLessAndLessOftenWhileTheLoadIsStable() {
		assertThat(plansIn(16, 0)).isEqualTo(5);
		assertThat(plansIn(160, 0)).isEqualTo(10);
	}

	@Test
	void plansAtOnceAfterAShift() {
		plansIn(40, 0);
		assertThat(plansIn(1, 5)).isEqualTo(1);
	}

	@Test
	void plansInTheNextRoundAfterTheSlowdownOfARankChanged() {
		plansIn(32, 0);
		double[] slower = { 1.3 };
		assertThat(this.schedule.isDue(this.traffic, slower)).isFalse();
		round(0);
		assertThat(this.schedule.isDue(this.traffic, slower)).isTrue();
	}

	@Test
	void plansInTheNextRoundAfterTheMapChanged() {
		plansIn(40, 0);
		this.schedule.reset();
		round(0);
		assertThat(this.schedule.isDue(this.traffic, SLOWDOWNS)).isTrue();
	}

}
