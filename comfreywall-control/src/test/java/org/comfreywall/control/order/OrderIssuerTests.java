package org.comfreywall.control.order;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.ErrorCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OrderIssuer} and {@link OrderCodec}.
 */
class OrderIssuerTests {

	private static final InstanceId TARGET = InstanceId.of("sidecar-1");

	private final OrderIssuer issuer = new OrderIssuer(DecisionListener.NONE);

	private static FencingNumber number(long term, long sequence) {
		return new FencingNumber(Term.of(term), sequence);
	}

	private List<OrderCommand> request(String model) {
		return this.issuer.handle(new OrderEvent.Requested(TARGET, OrderKind.LOAD_MODEL, model, "1"), 0);
	}

	private List<OrderCommand> reply(FencingNumber number, OrderStatus status, FencingNumber present) {
		return this.issuer.handle(new OrderEvent.Replied(new OrderReply(TARGET, number, status, present, "")), 0);
	}

	private void lead(long term) {
		this.issuer.handle(new OrderEvent.LeadershipGained(Term.of(term)), 0);
	}

	private static List<FencingNumber> sent(List<OrderCommand> commands) {
		return commands.stream()
			.filter(OrderCommand.SendOrder.class::isInstance)
			.map((command) -> ((OrderCommand.SendOrder) command).order().number())
			.toList();
	}

	private static Optional<ErrorCode> settledWith(List<OrderCommand> commands) {
		return commands.stream()
			.filter(OrderCommand.Settled.class::isInstance)
			.flatMap((command) -> ((OrderCommand.Settled) command).error().stream())
			.map((error) -> error.code())
			.findFirst();
	}

	@Test
	void sendsNoOrderUnlessLeader() {
		assertThat(settledWith(request("m"))).contains(ErrorCode.UNAVAILABLE);
	}

	@Test
	void numbersOrdersWithinTheTerm() {
		lead(4);
		assertThat(sent(request("m"))).containsExactly(number(4, 1));
	}

	@Test
	void mergesRepeatedRequest() {
		lead(4);
		request("m");
		assertThat(request("m")).isEmpty();
		assertThat(this.issuer.openOrders()).isEqualTo(1);
	}

	@Test
	void resendsSameNumberUntilAnswered() {
		lead(4);
		request("m");
		List<OrderCommand> commands = this.issuer.handle(new OrderEvent.Tick(), Duration.ofSeconds(1).toNanos());
		assertThat(sent(commands)).containsExactly(number(4, 1));
	}

	@Test
	void sendsNextOrderAfterFirstHasEnded() {
		lead(4);
		request("m");
		assertThat(sent(request("n"))).isEmpty();
		assertThat(sent(reply(number(4, 1), OrderStatus.DONE, number(4, 1)))).containsExactly(number(4, 2));
	}

	@Test
	void resendsWithNewNumberWhenFencedWithinItsTerm() {
		lead(4);
		request("m");
		assertThat(sent(reply(number(4, 1), OrderStatus.FENCED, number(4, 1)))).containsExactly(number(4, 2));
	}

	@Test
	void stopsWhenFencedByLaterTerm() {
		lead(4);
		request("m");
		assertThat(settledWith(reply(number(4, 1), OrderStatus.FENCED, number(5, 1)))).contains(ErrorCode.FENCED);
		assertThat(settledWith(request("n"))).contains(ErrorCode.UNAVAILABLE);
	}

	@Test
	void keepsOrderWhileFenceIsNotReady() {
		lead(4);
		request("m");
		reply(number(4, 1), OrderStatus.NOT_READY, FencingNumber.ZERO);
		assertThat(this.issuer.openOrders()).isEqualTo(1);
	}

	@Test
	void decodesEncodedMessages() {
		EngineOrder order = new EngineOrder(TARGET, number(4, 1), OrderKind.CHANGE_ROLE, "engine", "prefill");
		OrderReply reply = new OrderReply(TARGET, number(4, 1), OrderStatus.FENCED, number(5, 2), "too old");
		assertThat(OrderCodec.decode(OrderCodec.encode(order)).value()).contains(order);
		assertThat(OrderCodec.decode(OrderCodec.encode(reply)).value()).contains(reply);
	}

	@Test
	void reportsMalformedContent() {
		assertThat(OrderCodec.decode(new byte[] { 1 }).error()).get()
			.matches((error) -> error.code() == ErrorCode.MALFORMED);
	}

}
