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

	private static OrderFence create(EngineFencing engine) {
		return new OrderFence(InstanceId.of("sidecar-1"), engine, DecisionListener.NONE);
	}

	private static FencingNumber number(long term, long sequence) {
		return new FencingNumber(Term.of(term), sequence);
	}

	private static ErrorCode code(Result<FencingNumber> result) {
		return result.error().orElseThrow().code();
	}

	@Test
	void admitsNothingBeforeThePresentNumberIsKnown() {
		assertThat(code(this.fence.admit(number(9, 9)))).isEqualTo(ErrorCode.UNAVAILABLE);
	}

	@Test
	void refusesOrdersBelowTheLearntNumber() {
		this.fence.learnFloor(number(3, 5));
		assertThat(code(this.fence.admit(number(3, 4)))).isEqualTo(ErrorCode.FENCED);
	}

	@Test
	void refusesOrdersOfAnOlderTerm() {
		this.fence.learnFloor(number(1, 0));
		this.fence.admit(number(2, 1));
		this.fence.ended();
		assertThat(code(this.fence.admit(number(1, 99)))).isEqualTo(ErrorCode.FENCED);
	}

	@Test
	void admitsTheSameOrderAgain() {
		this.fence.learnFloor(number(1, 0));
		this.fence.admit(number(2, 1));
		this.fence.ended();
		assertThat(this.fence.admit(number(2, 1)).value()).contains(number(2, 1));
	}

	@Test
	void admitsOneOrderAtATime() {
		this.fence.learnFloor(number(1, 0));
		this.fence.admit(number(2, 1));
		assertThat(code(this.fence.admit(number(2, 2)))).isEqualTo(ErrorCode.OVERLOADED);
	}

	@Test
	void doesNotStepBackWhenALateFloorArrives() {
		this.fence.learnFloor(number(3, 5));
		this.fence.learnFloor(number(2, 1));
		assertThat(this.fence.present()).isEqualTo(number(3, 5));
	}

	@Test
	void leavesTheCheckToEnginesThatDoIt() {
		OrderFence open = create(EngineFencing.CHECKED_BY_ENGINE);
		assertThat(open.admit(number(1, 1)).value()).contains(number(1, 1));
	}

}
