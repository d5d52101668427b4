package org.comfreywall.group.mapswitch;

import java.util.BitSet;

import org.comfreywall.group.map.MapRef;

/**
 * State of one requested switch across its attempts.
 */
final class RequestedSwitch {

	private final MapRef map;

	private final int ranks;

	private final BitSet staged = new BitSet();

	private final BitSet armed = new BitSet();

	private final BitSet released = new BitSet();

	private SwitchPhase phase = SwitchPhase.STAGING;

	private MapBoundary boundary;

	private SwitchDecision decision;

	private long armingStartedAt;

	private long armDeadline;

	private long nextStageAt = Long.MIN_VALUE;

	private int attempts;

	private boolean cancelled;

	RequestedSwitch(MapRef map, int ranks) {
		this.map = map;
		this.ranks = ranks;
	}

	MapRef map() {
		return this.map;
	}

	SwitchPhase phase() {
		return this.phase;
	}

	MapBoundary boundary() {
		return this.boundary;
	}

	SwitchDecision decision() {
		return this.decision;
	}

	long armingStartedAt() {
		return this.armingStartedAt;
	}

	long armDeadline() {
		return this.armDeadline;
	}

	int attempts() {
		return this.attempts;
	}

	boolean isCancelled() {
		return this.cancelled;
	}

	void cancel() {
		this.cancelled = true;
	}

	boolean isCurrentAttempt(SwitchId id) {
		return this.phase != SwitchPhase.STAGING && this.boundary.attemptId().equals(id);
	}

	boolean isStaged(int rank) {
		return this.staged.get(rank);
	}

	boolean isArmed(int rank) {
		return this.armed.get(rank);
	}

	boolean isReleased(int rank) {
		return this.released.get(rank);
	}

	void markStaged(int rank) {
		this.staged.set(rank);
	}

	void markArmed(int rank) {
		this.armed.set(rank);
	}

	void markReleased(int rank) {
		this.released.set(rank);
	}

	void resetReplacedRank(int rank) {
		clearStaged(rank);
		this.armed.clear(rank);
		// The welcome order already carries the decision to the new member.
		this.released.set(rank);
	}

	void clearStaged(int rank) {
		this.staged.clear(rank);
		this.nextStageAt = Long.MIN_VALUE;
	}

	boolean pollStageDue(long now, long intervalNanos) {
		if (now < this.nextStageAt) {
			return false;
		}
		this.nextStageAt = now + intervalNanos;
		return true;
	}

	boolean allStaged() {
		return this.staged.cardinality() == this.ranks;
	}

	boolean allArmed() {
		return this.armed.cardinality() == this.ranks;
	}

	boolean allReleased() {
		return this.released.cardinality() == this.ranks;
	}

	void startAttempt(MapBoundary newBoundary, long now, long deadline) {
		this.boundary = newBoundary;
		this.armingStartedAt = now;
		this.armDeadline = deadline;
		this.attempts++;
		this.armed.clear();
		this.phase = SwitchPhase.ARMING;
	}

	void startDeciding() {
		this.phase = SwitchPhase.DECIDING;
	}

	void startReleasing(SwitchDecision durable) {
		this.decision = durable;
		this.released.clear();
		this.phase = SwitchPhase.RELEASING;
	}

	void startStaging() {
		this.phase = SwitchPhase.STAGING;
	}

}
