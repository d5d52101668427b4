package org.comfreywall.sidecar.fence;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.Result;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OrderFence}.
 */
class OrderFenceTests {

	private final OrderFence fence = create(EngineFencing.CHECKED_BY_SIDECAR);

	private static OrderFence create(EngineFencing fencing) {
		return new OrderFence(InstanceId.of("sidecar-1"), fencing, DecisionListener.NONE);
	}

	private static FencingNumber number(long term, long sequence) {
		return new FencingNumber(Term.of(term), sequence);
	}

	private static ErrorCode code(Result<FencingNumber> result) {
		return result.error().orElseThrow().code();
	}

	@Test
	void admitsNoOrderBeforeCurrentNumberIsConfirmed() {
		assertThat(code(this.fence.admit(number(9, 9)))).isEqualTo(ErrorCode.UNAVAILABLE);
	}

	@Test
	void rejectsOrderBelowConfirmedNumber() {
		this.fence.raiseFloor(number(3, 5));
		assertThat(code(this.fence.admit(number(3, 4)))).isEqualTo(ErrorCode.FENCED);
	}

	@Test
	void rejectsOrderOfOlderTerm() {
		this.fence.raiseFloor(number(1, 0));
		this.fence.admit(number(2, 1));
		this.fence.endOrder();
		assertThat(code(this.fence.admit(number(1, 99)))).isEqualTo(ErrorCode.FENCED);
	}

	@Test
	void admitsSameOrderAgainAfterItEnded() {
		this.fence.raiseFloor(number(1, 0));
		this.fence.admit(number(2, 1));
		this.fence.endOrder();
		assertThat(this.fence.admit(number(2, 1)).value()).contains(number(2, 1));
	}

	@Test
	void admitsOneOrderAtATime() {
		this.fence.raiseFloor(number(1, 0));
		this.fence.admit(number(2, 1));
		assertThat(code(this.fence.admit(number(2, 2)))).isEqualTo(ErrorCode.OVERLOADED);
	}

	@Test
	void keepsCurrentNumberWhenLowerFloorArrivesLate() {
		this.fence.raiseFloor(number(3, 5));
		this.fence.raiseFloor(number(2, 1));
		assertThat(this.fence.currentNumber()).isEqualTo(number(3, 5));
	}

	@Test
	void admitsOrderWithoutConfirmedNumberIfEngineChecks() {
		OrderFence engineChecked = create(EngineFencing.CHECKED_BY_ENGINE);
		assertThat(engineChecked.admit(number(1, 1)).value()).contains(number(1, 1));
	}

}
