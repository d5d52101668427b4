package org.comfreywall.control.state;

import java.util.Map;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotReservations}.
 */
class SlotReservationsTests {

	private static final AccountId FARM = AccountId.of("farm");

	private final SlotReservations ledger = new SlotReservations();

	@Test
	void keepsLatestReservationInSnapshots() {
		assertThat(SlotReservations.isDone(this.ledger.apply(LogTime.ZERO, SlotReservations.reserve(FARM, 8))))
			.isTrue();
		this.ledger.apply(LogTime.ZERO, SlotReservations.reserve(FARM, 16));
		SlotReservations copy = new SlotReservations();
		copy.restore(this.ledger.snapshot());
		assertThat(copy.reservations()).isEqualTo(Map.of(FARM, 16L));
	}

	@Test
	void refusesMalformedCommand() {
		Bytes answer = this.ledger.apply(LogTime.ZERO, Bytes.ofText("?"));
		assertThat(SlotReservations.isDone(answer)).isFalse();
		assertThat(this.ledger.reservations()).isEmpty();
	}

}
