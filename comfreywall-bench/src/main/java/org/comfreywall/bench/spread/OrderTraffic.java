package org.comfreywall.bench.spread;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.Result;
import org.comfreywall.control.order.EngineOrder;
import org.comfreywall.control.order.OrderCommand;
import org.comfreywall.control.order.OrderEvent;
import org.comfreywall.control.order.OrderIssuer;
import org.comfreywall.control.order.OrderKind;
import org.comfreywall.control.order.OrderReply;
import org.comfreywall.control.order.OrderStatus;
import org.comfreywall.sidecar.fence.EngineFencing;
import org.comfreywall.sidecar.fence.OrderFence;

/**
 * Sends orders from all control instances, only one of which is the current leader. The
 * simulated engines ignore fencing numbers and keep running when their sidecars restart,
 * so only the fences of the sidecars can refuse an older order.
 */
final class OrderTraffic {

	private final Map<InstanceId, OrderIssuer> issuers = new HashMap<>();

	private final Map<InstanceId, OrderFence> fences = new HashMap<>();

	private final Map<InstanceId, FencingNumber> executed = new HashMap<>();

	private static final long MAX_LATE_DELIVERY_NANOS = Duration.ofSeconds(20).toNanos();

	private final Random random;

	private final Fleet fleet;

	private final Network network;

	private final Violations violations;

	private long acceptedOrders;

	private long fencedOrders;

	OrderTraffic(Fleet fleet, Network network, Violations violations, long seed) {
		this.random = new Random(seed);
		this.fleet = fleet;
		this.network = network;
		this.violations = violations;
	}

	long acceptedOrders() {
		return this.acceptedOrders;
	}

	long fencedOrders() {
		return this.fencedOrders;
	}

	void startControl(InstanceId control) {
		this.issuers.put(control, new OrderIssuer(DecisionListener.NONE));
	}

	void startSidecar(InstanceId sidecar) {
		this.fences.put(sidecar, new OrderFence(sidecar, EngineFencing.CHECKED_BY_SIDECAR, DecisionListener.NONE));
	}

	void raiseFloor(InstanceId sidecar, FencingNumber floor) {
		if (this.fences.containsKey(sidecar)) {
			this.fences.get(sidecar).raiseFloor(floor);
		}
	}

	void gainLeadership(InstanceId control, Term term) {
		handle(control, new OrderEvent.LeadershipGained(term));
		this.fleet.lastOrderNumber(this.issuers.get(control).lastNumber());
	}

	void requestOrder(InstanceId control, InstanceId sidecar, int version) {
		handle(control, new OrderEvent.Requested(sidecar, OrderKind.LOAD_VERSION, "model", Integer.toString(version)));
		tick(control);
	}

	void tick(InstanceId control) {
		handle(control, new OrderEvent.Tick());
	}

	private void handle(InstanceId control, OrderEvent event) {
		OrderIssuer issuer = this.issuers.get(control);
		if (!this.fleet.node(control).isAlive()) {
			return;
		}
		List<OrderCommand> commands = issuer.handle(event, this.fleet.time().now());
		if (this.fleet.leader().filter(control::equals).isPresent()
				&& issuer.lastNumber().term().equals(this.fleet.term())) {
			this.fleet.lastOrderNumber(issuer.lastNumber());
		}
		for (OrderCommand command : commands) {
			if (command instanceof OrderCommand.SendOrder sent) {
				send(control, sent.order().target(), () -> deliverOrder(control, sent.order()));
			}
		}
	}

	// One message in three is delivered once more, up to 20 s later and even over a cut
	// link.
	private void send(InstanceId from, InstanceId to, Runnable arrival) {
		int copies = this.network.duplicates() ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			OptionalLong delay = this.network.delay(this.fleet.node(from).descriptor(),
					this.fleet.node(to).descriptor());
			delay.ifPresent((nanos) -> this.fleet.time().after(nanos, arrival));
		}
		if (this.random.nextInt(3) == 0) {
			this.fleet.time().after((long) (this.random.nextDouble() * MAX_LATE_DELIVERY_NANOS), arrival);
		}
	}

	private void deliverOrder(InstanceId control, EngineOrder order) {
		OrderFence fence = this.fences.get(order.target());
		if (!this.fleet.node(order.target()).isAlive()) {
			return;
		}
		Result<FencingNumber> admitted = fence.admit(order.number());
		if (admitted.value().isPresent()) {
			execute(order);
			fence.endOrder();
		}
		OrderReply reply = new OrderReply(order.target(), order.number(), replyStatus(admitted), fence.currentNumber(),
				"");
		send(order.target(), control, () -> handle(control, new OrderEvent.Replied(reply)));
	}

	private void execute(EngineOrder order) {
		FencingNumber before = this.executed.getOrDefault(order.target(), FencingNumber.ZERO);
		this.violations.check(!order.number().isBefore(before), "older-order-accepted", "%s executed order %s after %s",
				order.target(), order.number(), before);
		this.executed.put(order.target(), order.number());
		this.acceptedOrders++;
	}

	private OrderStatus replyStatus(Result<FencingNumber> admitted) {
		if (admitted.value().isPresent()) {
			return OrderStatus.DONE;
		}
		boolean stale = admitted.error().orElseThrow().code() == ErrorCode.FENCED;
		this.fencedOrders += stale ? 1 : 0;
		return stale ? OrderStatus.FENCED : OrderStatus.NOT_READY;
	}

}
