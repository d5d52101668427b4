package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;

/**
 * Completes a delegated switch whose coordinator failed while a pass was held.
 * <p>
 * The deputy receives the switch before the pass is held. If no notice that the switch
 * has ended arrives within the timeout, it sends the orders for the same pass again: hold
 * it, arm all ranks, release it. It is safe if the coordinator is still running and both
 * send orders at the same time: orders are idempotent, the pass is released only after
 * all ranks are armed or after a rollback, and an engine refuses to hold or to arm for a
 * pass that has begun.
 */
final class SwitchDeputy {

	private static final EventLog LOG = EventLog.of(SwitchDeputy.class);

	/** Time after which an order without an answer is resent. */
	private static final long ORDER_RETRY_INTERVAL_NANOS = 60_000_000L;

	/**
	 * Time after the receipt of the switch at which the deputy gives up: the next leader
	 * takes over a pass that the reports of the ranks show as held ({@link MapSwitch}).
	 */
	private static final long GIVE_UP_TIMEOUT_NANOS = 3_000_000_000L;

	private final DelegatedSwitch delegatedSwitch;

	private final long createdAt;

	private final long takeoverTimeoutNanos;

	private final OrderRetryTimer retryTimer = new OrderRetryTimer(ORDER_RETRY_INTERVAL_NANOS);

	private final Set<Integer> armedRanks = new HashSet<>();

	private Phase phase = Phase.WAITING;

	/**
	 * Creates a deputy for one switch.
	 * @param delegatedSwitch the switch
	 * @param takeoverTimeoutNanos the time in nanoseconds after which the coordinator is
	 * assumed to have failed
	 * @param now the current time in nanoseconds
	 */
	SwitchDeputy(DelegatedSwitch delegatedSwitch, long takeoverTimeoutNanos, long now) {
		this.delegatedSwitch = delegatedSwitch;
		this.takeoverTimeoutNanos = takeoverTimeoutNanos;
		this.createdAt = now;
	}

	DelegatedSwitch delegatedSwitch() {
		return this.delegatedSwitch;
	}

	/**
	 * Returns whether the deputy has nothing left to do.
	 * @param now the current time in nanoseconds
	 * @return {@code true} once the pass is released or the deputy has given up
	 */
	boolean isDone(long now) {
		return this.phase == Phase.OVER || now - this.createdAt > GIVE_UP_TIMEOUT_NANOS;
	}

	/**
	 * Processes an engine's answer. If there was none, the rank's current order is due
	 * again at once. Otherwise answers to orders of an earlier phase are ignored.
	 * @param order the order
	 * @param answer the answer
	 */
	void handleAnswer(RankOrder order, OrderAnswer answer) {
		if (answer == OrderAnswer.UNKNOWN) {
			this.retryTimer.markUnanswered(order.rank());
		}
		else if (order.order() instanceof HoldStep && this.phase == Phase.HOLDING) {
			// Refused if the pass has begun, so there is nothing left to complete.
			enterPhase((answer == OrderAnswer.TAKEN) ? Phase.ARMING : Phase.OVER);
		}
		else if (order.order() instanceof ArmMap && this.phase == Phase.ARMING && answer == OrderAnswer.TAKEN) {
			this.armedRanks.add(order.rank());
			if (this.armedRanks.size() == this.delegatedSwitch.servers().size()) {
				enterPhase(Phase.RELEASING);
			}
		}
		else if (order.order() instanceof ReleaseStep && this.phase == Phase.RELEASING) {
			LOG.warn("map-switched-by-deputy", Field.of("group", this.delegatedSwitch.group()),
					Field.of("version", this.delegatedSwitch.version()), Field.of("step", this.delegatedSwitch.step()));
			enterPhase(Phase.OVER);
		}
	}

	private void enterPhase(Phase next) {
		this.phase = next;
		this.retryTimer.reset();
	}

	/**
	 * Takes the switch over if the timeout has passed, and returns the orders that are
	 * due.
	 * @param now the current time in nanoseconds
	 * @return the orders
	 */
	List<RankOrder> tick(long now) {
		if (this.phase == Phase.WAITING && now - this.createdAt > this.takeoverTimeoutNanos) {
			LOG.warn("switch-taken-over", Field.of("group", this.delegatedSwitch.group()),
					Field.of("version", this.delegatedSwitch.version()), Field.of("step", this.delegatedSwitch.step()));
			enterPhase(Phase.HOLDING);
		}
		long epoch = this.delegatedSwitch.epoch();
		long pass = this.delegatedSwitch.step();
		return switch (this.phase) {
			case HOLDING -> dueOrders(List.of(this.delegatedSwitch.holder()), new HoldStep(epoch, pass), now);
			case ARMING -> dueOrders(ranksNotArmed(), new ArmMap(epoch, this.delegatedSwitch.version(), pass), now);
			case RELEASING -> dueOrders(List.of(this.delegatedSwitch.holder()), new ReleaseStep(epoch, pass), now);
			case WAITING, OVER -> List.of();
		};
	}

	private List<Integer> ranksNotArmed() {
		List<Integer> ranks = new ArrayList<>();
		for (int rank = 0; rank < this.delegatedSwitch.servers().size(); rank++) {
			if (!this.armedRanks.contains(rank)) {
				ranks.add(rank);
			}
		}
		return ranks;
	}

	private List<RankOrder> dueOrders(List<Integer> ranks, EngineOrder order, long now) {
		List<RankOrder> orders = new ArrayList<>();
		for (int rank : ranks) {
			if (this.retryTimer.markSentIfDue(rank, now)) {
				orders.add(new RankOrder(this.delegatedSwitch.servers().get(rank), rank, order));
			}
		}
		return orders;
	}

	/** The phases of a deputy. */
	private enum Phase {

		/** The coordinator may still complete the switch itself. */
		WAITING,
		/** The holder is ordered to hold the pass. */
		HOLDING,
		/** All ranks are being armed. */
		ARMING,
		/** All ranks are armed, and the pass is being released. */
		RELEASING,
		/** The pass was released, or the holder refused to hold it. */
		OVER

	}

}
