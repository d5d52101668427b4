package org.comfreywall.control.lease;

/**
 * A token bucket in which granted amounts count against the capacity until their term has
 * expired.
 * <p>
 * The level and the unexpired grants together never exceed the capacity. The amount that
 * holders spend in any window therefore stays within the capacity plus the rate times the
 * window, however late in its term they spend a grant.
 */
final class LeaseTokenBucket {

	private static final int SLICES_PER_TERM = 8;

	/** Slices of the ring of expiring amounts; must exceed the slices of a term. */
	private static final int RING_SLICES = 16;

	private static final double NANOS_PER_SECOND = 1e9;

	private final long termNanos;

	private final long sliceNanos;

	private final long[] expiring = new long[RING_SLICES];

	private long unexpired;

	private long slice;

	private double perNano;

	private double capacity;

	private double level;

	private long advancedAt;

	LeaseTokenBucket(long termNanos, long startAt) {
		this.termNanos = termNanos;
		this.sliceNanos = Math.max(1, termNanos / SLICES_PER_TERM);
		this.advancedAt = startAt;
		this.slice = Math.floorDiv(startAt, this.sliceNanos);
	}

	void configure(double perSecond, double capacity) {
		this.perNano = perSecond / NANOS_PER_SECOND;
		this.capacity = capacity;
		limitLevel();
	}

	/**
	 * Returns the amount that may be granted now.
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the amount
	 */
	double available(long now) {
		advanceTo(now);
		return this.level;
	}

	void grant(long amount, long now) {
		this.level -= amount;
		this.unexpired += amount;
		long expiry = Math.floorDiv(now + this.termNanos, this.sliceNanos) + 1;
		this.expiring[index(expiry)] += amount;
	}

	void refund(long amount, long now) {
		advanceTo(now);
		this.level += amount;
		limitLevel();
	}

	double perNano() {
		return this.perNano;
	}

	double capacity() {
		return this.capacity;
	}

	long unexpired() {
		return this.unexpired;
	}

	double level() {
		return this.level;
	}

	private void advanceTo(long now) {
		if (now <= this.advancedAt) {
			return;
		}
		long last = Math.floorDiv(now, this.sliceNanos);
		for (int i = 0; i < RING_SLICES && this.slice < last; i++) {
			this.slice++;
			refillUntil(Math.max(this.advancedAt, this.slice * this.sliceNanos));
			this.unexpired -= this.expiring[index(this.slice)];
			this.expiring[index(this.slice)] = 0;
		}
		this.slice = Math.max(this.slice, last);
		refillUntil(now);
	}

	// Refills the bucket for the time passed.
	private void refillUntil(long time) {
		this.level += this.perNano * (time - this.advancedAt);
		this.advancedAt = time;
		limitLevel();
	}

	private void limitLevel() {
		this.level = Math.max(0, Math.min(this.level, this.capacity - this.unexpired));
	}

	private static int index(long slice) {
		return (int) Math.floorMod(slice, (long) RING_SLICES);
	}

}
