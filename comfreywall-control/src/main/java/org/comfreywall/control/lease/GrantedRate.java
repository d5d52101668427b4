package org.comfreywall.control.lease;

/**
 * A token bucket whose granted amounts go on occupying it until their term has passed.
 * <p>
 * Level and unexpired grants together never exceed the capacity. What holders spend in
 * any window therefore stays within the capacity plus the rate times the window, however
 * late they spend it.
 */
final class GrantedRate {

	private static final int SLICES_PER_TERM = 8;

	private static final int RING = 16;

	private static final double NANOS_PER_SECOND = 1e9;

	private final long termNanos;

	private final long sliceNanos;

	private final long[] expiring = new long[RING];

	private long live;

	private long slice;

	private double perNano;

	private double capacity;

	private double level;

	private long refreshedAt;

	GrantedRate(long termNanos, long startAt) {
		this.termNanos = termNanos;
		this.sliceNanos = Math.max(1, termNanos / SLICES_PER_TERM);
		this.refreshedAt = startAt;
		this.slice = Math.floorDiv(startAt, this.sliceNanos);
	}

	void configure(double perSecond, double capacity) {
		this.perNano = perSecond / NANOS_PER_SECOND;
		this.capacity = capacity;
		cap();
	}

	/**
	 * Returns what may be granted now.
	 * @param now the grantor's clock in nanoseconds
	 * @return the amount
	 */
	double available(long now) {
		refresh(now);
		return this.level;
	}

	void grant(long amount, long now) {
		this.level -= amount;
		this.live += amount;
		long expiry = Math.floorDiv(now + this.termNanos, this.sliceNanos) + 1;
		this.expiring[index(expiry)] += amount;
	}

	void refund(long amount, long now) {
		refresh(now);
		this.level += amount;
		cap();
	}

	double perNano() {
		return this.perNano;
	}

	double capacity() {
		return this.capacity;
	}

	long live() {
		return this.live;
	}

	double level() {
		return this.level;
	}

	private void refresh(long now) {
		if (now <= this.refreshedAt) {
			return;
		}
		long last = Math.floorDiv(now, this.sliceNanos);
		for (int i = 0; i < RING && this.slice < last; i++) {
			this.slice++;
			fillUntil(Math.max(this.refreshedAt, this.slice * this.sliceNanos));
			this.live -= this.expiring[index(this.slice)];
			this.expiring[index(this.slice)] = 0;
		}
		this.slice = Math.max(this.slice, last);
		fillUntil(now);
	}

	private void fillUntil(long time) {
		this.level += this.perNano * (time - this.refreshedAt);
		this.refreshedAt = time;
		cap();
	}

	private void cap() {
		this.level = Math.max(0, Math.min(this.level, this.capacity - this.live));
	}

	private static int index(long slice) {
		return (int) Math.floorMod(slice, (long) RING);
	}

}
