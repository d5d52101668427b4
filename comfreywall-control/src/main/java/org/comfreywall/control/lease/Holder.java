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

	private boolean inTurn;

	private long turnSequence;

	private long turnUntil = NEVER;

	private long inheritedSlots;

	Holder(HolderKey key) {
		this.key = key;
	}

	void recordDemand(AccountDemand demand, long now, long usedUntil) {
		this.demand = demand;
		this.demandReceivedAt = now;
		this.slots.applyReport(demand, usedUntil);
	}

	/**
	 * Adds slots that a grantor of an earlier term granted.
	 * @param grant the slots and when they expire
	 */
	void addInheritedSlots(SlotGrant grant) {
		this.slots.addGrant(grant);
		this.inheritedSlots = grant.slots();
	}

	void waiting(boolean waiting) {
		this.waiting = waiting;
	}

	void recordServed(long sequence, long until, long now) {
		this.servedAt = now;
		this.inTurn = false;
		this.turnSequence = sequence;
		this.turnUntil = until;
	}

	/**
	 * Returns whether the holder has not used the slot of its last turn yet, because the
	 * grant has not arrived or the slot is still free.
	 * @param now the time in nanoseconds
	 * @return {@code true} if it should keep that slot
	 */
	boolean keepsTurnSlot(long now) {
		boolean grantArrived = this.demand.heldSequence() >= this.turnSequence;
		boolean hasFreeSlot = this.demand.heldSlots() > this.demand.usedSlots();
		return now < this.turnUntil && (!grantArrived || hasFreeSlot);
	}

	boolean wasActiveSince(long time) {
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

	long inheritedSlots() {
		return this.inheritedSlots;
	}

	long servedAt() {
		return this.servedAt;
	}

	boolean waiting() {
		return this.waiting;
	}

	boolean inTurn() {
		return this.inTurn;
	}

	void inTurn(boolean turn) {
		this.inTurn = turn;
	}

}
