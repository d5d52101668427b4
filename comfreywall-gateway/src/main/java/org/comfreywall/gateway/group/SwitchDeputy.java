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
 * The deputy receives the switch before the pass is held. If no completion notice arrives
 * within the timeout, it repeats the steps for the same pass: hold it, arm all ranks,
 * release it. Orders are idempotent, and an engine refuses an order for a pass that has
 * begun, which happens only after all ranks were armed. So it is safe if the coordinator
 * is still running and both send orders at the same time.
 */
final class SwitchDeputy {

	private static final EventLog LOG = EventLog.of(SwitchDeputy.class);

	/** Orders without an answer are resent after this time. */
	private static final long REPEAT_NANOS = 60_000_000L;

	/**
	 * After this time the deputy gives up, as the next leader takes over the held pass
	 * that it finds in the ranks' reports.
	 */
	private static final long GIVE_UP_NANOS = 3_000_000_000L;

	private final DelegatedSwitch delegatedSwitch;

	private final long createdAt;

	private final long timeoutNanos;

	private final OrderRetryTimer retryTimer = new OrderRetryTimer(REPEAT_NANOS);

	private final Set<Integer> armed = new HashSet<>();

	private Phase phase = Phase.WAITING;

	/**
	 * Creates a deputy for one switch.
	 * @param delegatedSwitch the switch
	 * @param timeoutNanos the time in nanoseconds after which the coordinator is assumed
	 * to have failed
	 * @param now the present time in nanoseconds
	 */
	SwitchDeputy(DelegatedSwitch delegatedSwitch, long timeoutNanos, long now) {
		this.delegatedSwitch = delegatedSwitch;
		this.timeoutNanos = timeoutNanos;
		this.createdAt = now;
	}

	DelegatedSwitch delegatedSwitch() {
		return this.delegatedSwitch;
	}

	/**
	 * Returns whether the deputy has nothing left to do.
	 * @param now the present time in nanoseconds
	 * @return {@code true} once the pass is released or the deputy has given up
	 */
	boolean isDone(long now) {
		return this.phase == Phase.OVER || now - this.createdAt > GIVE_UP_NANOS;
	}

	/**
	 * Processes an engine's answer. Answers to orders of an earlier phase are ignored.
	 * @param order the order
	 * @param answer the answer
	 */
	void handleAnswer(RankOrder order, OrderAnswer answer) {
		if (answer == OrderAnswer.UNKNOWN) {
			this.retryTimer.markLost(order.rank());
		}
		else if (order.order() instanceof HoldStep && this.phase == Phase.HOLDING) {
			enter((answer == OrderAnswer.TAKEN) ? Phase.ARMING : Phase.OVER);
		}
		else if (order.order() instanceof ArmMap && this.phase == Phase.ARMING && answer == OrderAnswer.TAKEN) {
			this.armed.add(order.rank());
			if (this.armed.size() == this.delegatedSwitch.servers().size()) {
				enter(Phase.RELEASING);
			}
		}
		else if (order.order() instanceof ReleaseStep && this.phase == Phase.RELEASING) {
			LOG.warn("map-switched-by-deputy", Field.of("group", this.delegatedSwitch.group()),
					Field.of("version", this.delegatedSwitch.version()), Field.of("step", this.delegatedSwitch.step()));
			enter(Phase.OVER);
		}
	}

	private void enter(Phase next) {
		this.phase = next;
		this.retryTimer.reset();
	}

	/**
	 * Returns the orders that are due.
	 * @param now the present time in nanoseconds
	 * @return the orders
	 */
	List<RankOrder> tick(long now) {
		if (this.phase == Phase.WAITING && now - this.createdAt > this.timeoutNanos) {
			LOG.warn("switch-taken-over", Field.of("group", this.delegatedSwitch.group()),
					Field.of("version", this.delegatedSwitch.version()), Field.of("step", this.delegatedSwitch.step()));
			enter(Phase.HOLDING);
		}
		long epoch = this.delegatedSwitch.epoch();
		long step = this.delegatedSwitch.step();
		return switch (this.phase) {
			case HOLDING -> dueOrders(List.of(this.delegatedSwitch.holder()), new HoldStep(epoch, step), now);
			case ARMING -> dueOrders(ranksNotArmed(), new ArmMap(epoch, this.delegatedSwitch.version(), step), now);
			case RELEASING -> dueOrders(List.of(this.delegatedSwitch.holder()), new ReleaseStep(epoch, step), now);
			case WAITING, OVER -> List.of();
		};
	}

	private List<Integer> ranksNotArmed() {
		List<Integer> ranks = new ArrayList<>();
		for (int rank = 0; rank < this.delegatedSwitch.servers().size(); rank++) {
			if (!this.armed.contains(rank)) {
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
		/** The pass was released, or the engine refused to hold it. */
		OVER

	}

}
