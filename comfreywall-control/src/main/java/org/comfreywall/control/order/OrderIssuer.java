package org.comfreywall.control.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * State machine of the leader that assigns fencing numbers to orders, sends one order at
 * a time to each engine and resends it with exponential backoff until it is answered. Not
 * thread-safe.
 */
public final class OrderIssuer {

	/** Maximum number of engines with open orders. */
	public static final int MAX_TARGETS = 16_384;

	/** Maximum number of open orders of one engine. */
	public static final int MAX_QUEUED = 64;

	private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(500).toNanos();

	private static final int MAX_BACKOFF_DOUBLINGS = 6;

	private final Map<InstanceId, OrderQueue> queues = new HashMap<>();

	private final Invariants invariants = new Invariants();

	private final DecisionListener decisions;

	private Optional<Term> term = Optional.empty();

	private FencingNumber lastNumber = FencingNumber.ZERO;

	private List<OrderCommand> commands = new ArrayList<>();

	/**
	 * Creates an issuer for an instance that is not the leader.
	 * @param decisions receives a decision record for each order that has ended
	 */
	public OrderIssuer(DecisionListener decisions) {
		this.decisions = Preconditions.notNull(decisions, "decisions");
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the monotonic clock's reading in nanoseconds
	 * @return the commands, to be executed in this order
	 */
	public List<OrderCommand> handle(OrderEvent event, long now) {
		Preconditions.notNull(event, "event");
		if (event instanceof OrderEvent.LeadershipGained gained) {
			startTerm(gained.term());
		}
		else if (event instanceof OrderEvent.LeadershipLost) {
			endAll(ErrorCode.CANCELLED, "this instance is no longer the leader; send the request to the new leader");
		}
		else if (event instanceof OrderEvent.Requested requested) {
			enqueue(requested, now);
		}
		else if (event instanceof OrderEvent.Replied replied) {
			handleReply(replied.reply(), now);
		}
		else {
			this.queues.values().forEach((queue) -> resendIfDue(queue, now));
		}
		List<OrderCommand> drained = this.commands;
		this.commands = new ArrayList<>();
		return drained;
	}

	/**
	 * Returns the highest fencing number issued. Fences that query the leader use it as
	 * their lower bound.
	 * @return the number, at least the first one of the current term
	 */
	public FencingNumber lastNumber() {
		return this.lastNumber;
	}

	/**
	 * Returns the number of open orders.
	 * @return the count
	 */
	public int openOrders() {
		return this.queues.values().stream().mapToInt(OrderQueue::size).sum();
	}

	private void startTerm(Term gained) {
		endAll(ErrorCode.CANCELLED, "this instance started a new term; request the order again");
		FencingNumber first = new FencingNumber(gained, 0);
		if (this.invariants.holds(this.lastNumber.isBefore(first), "order-terms-increase",
				Field.of("last", this.lastNumber), Field.of("term", gained))) {
			this.term = Optional.of(gained);
			this.lastNumber = first;
		}
	}

	private void endAll(ErrorCode code, String reason) {
		this.term = Optional.empty();
		for (OrderQueue queue : this.queues.values()) {
			queue.drain().forEach((order) -> settle(order, Optional.of(error(code, order, reason))));
		}
		this.queues.clear();
	}

	private void enqueue(OrderEvent.Requested requested, long now) {
		EngineOrder order = new EngineOrder(requested.target(), FencingNumber.ZERO, requested.kind(),
				requested.subject(), requested.value());
		OrderQueue queue = this.queues.get(order.target());
		if (this.term.isEmpty()) {
			settle(order, Optional.of(error(ErrorCode.UNAVAILABLE, order, "this instance is not the leader")));
			return;
		}
		if (queue == null && this.queues.size() < MAX_TARGETS) {
			queue = new OrderQueue();
			this.queues.put(order.target(), queue);
		}
		if (queue == null || queue.size() >= MAX_QUEUED) {
			settle(order, Optional.of(error(ErrorCode.OVERLOADED, order, "too many open orders; try again later")));
			return;
		}
		if (!queue.endsWith(order)) {
			queue.add(order);
			sendNext(queue, now);
		}
	}

	private void sendNext(OrderQueue queue, long now) {
		if (!queue.isHeadSent() && queue.size() > 0) {
			send(queue, queue.head().withNumber(nextNumber()), now);
		}
	}

	private void send(OrderQueue queue, EngineOrder order, long now) {
		queue.markSent(order, now);
		this.commands.add(new OrderCommand.SendOrder(order));
	}

	private FencingNumber nextNumber() {
		this.lastNumber = new FencingNumber(this.lastNumber.term(), this.lastNumber.sequence() + 1);
		return this.lastNumber;
	}

	private void resendIfDue(OrderQueue queue, long now) {
		long backoff = INITIAL_BACKOFF_NANOS << Math.min(queue.attempts(), MAX_BACKOFF_DOUBLINGS);
		if (queue.isHeadSent() && now - queue.headSentAt() >= backoff) {
			send(queue, queue.head(), now);
		}
	}

	private void handleReply(OrderReply reply, long now) {
		OrderQueue queue = this.queues.get(reply.target());
		if (queue == null || !queue.isHeadSent() || !queue.head().number().equals(reply.number())) {
			return;
		}
		if (reply.status() == OrderStatus.FENCED) {
			handleFenced(queue, reply, now);
		}
		else if (reply.status() != OrderStatus.NOT_READY) {
			EngineOrder order = queue.remove();
			boolean done = reply.status() == OrderStatus.DONE;
			settle(order,
					done ? Optional.empty() : Optional.of(error(ErrorCode.BACKEND_ERROR, order, reply.message())));
			sendNext(queue, now);
		}
		if (queue.size() == 0) {
			this.queues.remove(reply.target());
		}
	}

	private void handleFenced(OrderQueue queue, OrderReply reply, long now) {
		if (this.lastNumber.term().isBefore(reply.present().term())) {
			endAll(ErrorCode.FENCED, "a leader of term " + reply.present().term() + " issues the orders now");
			return;
		}
		send(queue, queue.head().withNumber(nextNumber()), now);
	}

	private void settle(EngineOrder order, Optional<OperationError> error) {
		this.commands.add(new OrderCommand.Settled(order, error));
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.ORDER, order.target().value(),
				error.map((failed) -> failed.code().name().toLowerCase(Locale.ROOT)).orElse("done"),
				Field.of("number", order.number()), Field.of("kind", order.kind()),
				Field.of("subject", order.subject()), Field.of("value", order.value())));
	}

	private static OperationError error(ErrorCode code, EngineOrder order, String reason) {
		return OperationError.atPeer(code, Step.ORDER, order.target(), reason);
	}

}
