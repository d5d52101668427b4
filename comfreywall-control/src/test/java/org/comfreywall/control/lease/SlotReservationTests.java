package org.comfreywall.control.lease;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotReservation}.
 */
class SlotReservationTests {

	@Test
	void coversOutstandingSlots() {
		assertThat(SlotReservation.next(0, 1)).isEqualTo(8);
		assertThat(SlotReservation.next(8, 9)).isEqualTo(16);
	}

	@Test
	void isKeptWhileItIsSuitable() {
		assertThat(SlotReservation.next(32, 5)).isEqualTo(32);
	}

	@Test
	void isLoweredWhenFewSlotsAreOutstanding() {
		assertThat(SlotReservation.next(64, 5)).isEqualTo(8);
	}

}
