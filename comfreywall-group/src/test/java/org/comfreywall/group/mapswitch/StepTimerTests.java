package org.comfreywall.group.mapswitch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StepTimer}.
 */
class StepTimerTests {

	private final StepTimer timer = new StepTimer();

	@Test
	void averagesOutTwoStepsGrantedAtOnceAfterHold() {
		this.timer.recordStart(5, true, 0);
		this.timer.recordStart(6, false, 100);
		for (int i = 1; i <= 15; i++) {
			this.timer.recordStart(6 + i, false, 100 + i * 4_000);
		}

		assertThat(this.timer.stepNanos()).isBetween(3_500L, 4_000L);
	}

	@Test
	void excludesTimeForWhichStepWasHeld() {
		this.timer.recordStart(0, false, 0);
		this.timer.recordStart(1, true, 1_000_000);
		for (int i = 1; i <= 16; i++) {
			this.timer.recordStart(1 + i, false, 1_000_000 + i * 4_000);
		}

		assertThat(this.timer.stepNanos()).isEqualTo(4_000);
	}

}
