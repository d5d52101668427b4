package org.comfreywall.control.lease;

import org.comfreywall.common.lease.AccountDemand;

/**
 * One holder of shares of one client account's limits.
 */
final class Holder {

	static final long NEVER = Long.MIN_VALUE;

	private final HolderKey key;

	private final HeldSlots slots = new HeldSlots();

	private AccountDemand demand;

	private long heardAt = NEVER;

	private long rateServedAt = NEVER;

	private long slotServedAt = NEVER;

	private boolean waiting;

	private boolean rateTurn;

	private boolean slotTurn;

	private long inherited;

	Holder(HolderKey key) {
		this.key = key;
	}

	void hear(AccountDemand demand, long now, long usedUntil) {
		this.demand = demand;
		this.heardAt = now;
		this.slots.report(demand, usedUntil);
	}

	/**
	 * Counts slots granted by an earlier grantor.
	 * @param grant the slots and when they are free
	 */
	void inherit(SlotGrant grant) {
		this.slots.add(grant);
		this.inherited = grant.slots();
	}

	void rateAnswered(boolean served, long now) {
		this.waiting = !served;
		if (served) {
			this.rateServedAt = now;
			this.rateTurn = false;
		}
	}

	void slotTurnTaken(long now) {
		this.slotServedAt = now;
	}

	boolean heardSince(long time) {
		return this.heardAt >= time;
	}

	HolderKey key() {
		return this.key;
	}

	HeldSlots slots() {
		return this.slots;
	}

	AccountDemand demand() {
		return this.demand;
	}

	long inherited() {
		return this.inherited;
	}

	long rateServedAt() {
		return this.rateServedAt;
	}

	long slotServedAt() {
		return this.slotServedAt;
	}

	boolean waiting() {
		return this.waiting;
	}

	boolean rateTurn() {
		return this.rateTurn;
	}

	void rateTurn(boolean turn) {
		this.rateTurn = turn;
	}

	boolean slotTurn() {
		return this.slotTurn;
	}

	void slotTurn(boolean turn) {
		this.slotTurn = turn;
	}

}
