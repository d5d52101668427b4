package org.comfreywall.control.lease;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotReservation}.
 */
class SlotReservationTests {

	private static final long LIMIT = 400;

	private static long next(long reserved, long outstanding) {
		return SlotReservation.next(reserved, new SlotUse(outstanding, 0, LIMIT));
	}

	@Test
	void coversOutstandingSlots() {
		assertThat(next(0, 1)).isEqualTo(8);
		assertThat(next(8, 9)).isEqualTo(16);
	}

	@Test
	void isKeptWhileItIsSuitable() {
		assertThat(next(32, 5)).isEqualTo(32);
	}

	@Test
	void isLoweredWhenFewSlotsAreOutstanding() {
		assertThat(next(64, 5)).isEqualTo(8);
	}

	@Test
	void addsTheSlotsOfEarlierGrantorsWithoutRoundingThem() {
		assertThat(SlotReservation.next(19, new SlotUse(3, 19, LIMIT))).isEqualTo(27);
		assertThat(SlotReservation.next(27, new SlotUse(8, 19, LIMIT))).isEqualTo(27);
		assertThat(SlotReservation.next(27, new SlotUse(9, 19, LIMIT))).isEqualTo(35);
	}

	@Test
	void neverExceedsWhatCanBeInUse() {
		assertThat(next(0, 390)).isEqualTo(LIMIT);
		assertThat(SlotReservation.next(300, new SlotUse(200, 300, LIMIT))).isEqualTo(LIMIT);
		assertThat(SlotReservation.next(0, new SlotUse(2, 0, 4))).isEqualTo(4);
	}

}
