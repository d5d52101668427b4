package org.comfreywall.control.lease;

import org.comfreywall.common.lease.AccountDemand;

/**
 * An entry instance that holds shares of one client account's limits.
 */
final class Holder {

	static final long NEVER = Long.MIN_VALUE;

	private final HolderKey key;

	private final HeldSlots slots = new HeldSlots();

	private AccountDemand demand;

	private long demandReceivedAt = NEVER;

	private long servedAt = NEVER;

	private boolean waiting;

	private boolean turn;

	private long turnSequence;

	private long turnUntil = NEVER;

	private long inherited;

	Holder(HolderKey key) {
		this.key = key;
	}

	void hear(AccountDemand demand, long now, long usedUntil) {
		this.demand = demand;
		this.demandReceivedAt = now;
		this.slots.report(demand, usedUntil);
	}

	/**
	 * Adds slots that a grantor of an earlier term granted.
	 * @param grant the slots and when they expire
	 */
	void inherit(SlotGrant grant) {
		this.slots.add(grant);
		this.inherited = grant.slots();
	}

	void waiting(boolean waiting) {
		this.waiting = waiting;
	}

	void served(long sequence, long until, long now) {
		this.servedAt = now;
		this.turn = false;
		this.turnSequence = sequence;
		this.turnUntil = until;
	}

	/**
	 * Returns whether the holder has not used the slot of its last turn yet, because the
	 * grant has not arrived or the slot is still free.
	 * @param now the time in nanoseconds
	 * @return {@code true} if it should keep that slot
	 */
	boolean keepsTurn(long now) {
		boolean grantArrived = this.demand.heldSequence() >= this.turnSequence;
		boolean hasFreeSlot = this.demand.heldSlots() > this.demand.usedSlots();
		return now < this.turnUntil && (!grantArrived || hasFreeSlot);
	}

	boolean heardSince(long time) {
		return this.demandReceivedAt >= time;
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

	long servedAt() {
		return this.servedAt;
	}

	boolean waiting() {
		return this.waiting;
	}

	boolean turn() {
		return this.turn;
	}

	void turn(boolean turn) {
		this.turn = turn;
	}

}
