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
 * The leader's core that numbers orders to engines, sends them one at a time to each
 * engine and again until they are answered. It is not thread-safe.
 */
public final class OrderIssuer {

	/** The number of engines with open orders at most. */
	public static final int MAX_TARGETS = 16_384;

	/** The number of open orders of one engine at most. */
	public static final int MAX_QUEUED = 64;

	private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();

	private static final int MAX_BACKOFF = 6;

	private final Map<InstanceId, OrderQueue> queues = new HashMap<>();

	private final Invariants invariants = new Invariants();

	private final DecisionListener decisions;

	private Optional<Term> term = Optional.empty();

	private FencingNumber last = FencingNumber.ZERO;

	private List<OrderCommand> commands = new ArrayList<>();

	/**
	 * Creates an issuer that does not lead.
	 * @param decisions receives the decisions
	 */
	public OrderIssuer(DecisionListener decisions) {
		this.decisions = Preconditions.notNull(decisions, "decisions");
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the monotonic clock's reading in nanoseconds
	 * @return the commands to be carried out in order
	 */
	public List<OrderCommand> on(OrderEvent event, long now) {
		Preconditions.notNull(event, "event");
		if (event instanceof OrderEvent.LeadershipGained gained) {
			lead(gained.term());
		}
		else if (event instanceof OrderEvent.LeadershipLost) {
			stop(ErrorCode.CANCELLED, "this instance no longer leads; ask the new leader");
		}
		else if (event instanceof OrderEvent.Requested requested) {
			request(requested, now);
		}
		else if (event instanceof OrderEvent.Replied replied) {
			reply(replied.reply(), now);
		}
		else {
			this.queues.values().forEach((queue) -> retry(queue, now));
		}
		List<OrderCommand> drained = this.commands;
		this.commands = new ArrayList<>();
		return drained;
	}

	/**
	 * Returns the number of the last order issued; the floor for fences that ask.
	 * @return the number, at least the one that begins the present term
	 */
	public FencingNumber last() {
		return this.last;
	}

	/**
	 * Returns the number of orders that have not ended.
	 * @return the count
	 */
	public int open() {
		return this.queues.values().stream().mapToInt(OrderQueue::size).sum();
	}

	private void lead(Term gained) {
		stop(ErrorCode.CANCELLED, "a new term has begun");
		FencingNumber first = new FencingNumber(gained, 0);
		if (this.invariants.holds(this.last.isBefore(first), "order-terms-increase", Field.of("last", this.last),
				Field.of("term", gained))) {
			this.term = Optional.of(gained);
			this.last = first;
		}
	}

	private void stop(ErrorCode code, String reason) {
		this.term = Optional.empty();
		for (OrderQueue queue : this.queues.values()) {
			queue.drain().forEach((order) -> settle(order, Optional.of(error(code, order, reason))));
		}
		this.queues.clear();
	}

	private void request(OrderEvent.Requested requested, long now) {
		EngineOrder wish = new EngineOrder(requested.target(), FencingNumber.ZERO, requested.kind(),
				requested.subject(), requested.value());
		OrderQueue queue = this.queues.get(wish.target());
		if (this.term.isEmpty()) {
			settle(wish, Optional.of(error(ErrorCode.UNAVAILABLE, wish, "this instance does not lead")));
			return;
		}
		if (queue == null && this.queues.size() < MAX_TARGETS) {
			queue = new OrderQueue();
			this.queues.put(wish.target(), queue);
		}
		if (queue == null || queue.size() >= MAX_QUEUED) {
			settle(wish, Optional.of(error(ErrorCode.OVERLOADED, wish, "too many orders are open; try later")));
			return;
		}
		if (!queue.endsWith(wish)) {
			queue.add(wish);
			sendNext(queue, now);
		}
	}

	private void sendNext(OrderQueue queue, long now) {
		if (!queue.isSent() && queue.size() > 0) {
			send(queue, queue.head().withNumber(nextNumber()), now);
		}
	}

	private void send(OrderQueue queue, EngineOrder order, long now) {
		queue.sent(order, now);
		this.commands.add(new OrderCommand.SendOrder(order));
	}

	private FencingNumber nextNumber() {
		this.last = new FencingNumber(this.last.term(), this.last.sequence() + 1);
		return this.last;
	}

	private void retry(OrderQueue queue, long now) {
		long pause = RETRY_NANOS << Math.min(queue.attempts(), MAX_BACKOFF);
		if (queue.isSent() && now - queue.sentAt() >= pause) {
			send(queue, queue.head(), now);
		}
	}

	private void reply(OrderReply reply, long now) {
		OrderQueue queue = this.queues.get(reply.target());
		if (queue == null || !queue.isSent() || !queue.head().number().equals(reply.number())) {
			return;
		}
		if (reply.status() == OrderStatus.FENCED) {
			fenced(queue, reply, now);
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

	private void fenced(OrderQueue queue, OrderReply reply, long now) {
		if (this.last.term().isBefore(reply.present().term())) {
			stop(ErrorCode.FENCED, "a leader of term " + reply.present().term() + " gives the orders");
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
		return OperationError.at(code, Step.ORDER, order.target(), reason);
	}

}
