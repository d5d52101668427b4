package org.comfreywall.group.moves;

import org.comfreywall.common.util.Preconditions;

/**
 * A token bucket of the bytes that a deployment may read from its weight store.
 * <p>
 * In any window of {@code t} seconds at most {@code burst + rate * t} bytes are granted.
 * One bucket is shared by all groups of a deployment. A new bucket is empty, so that a
 * restart grants no burst on top of the reads made before it.
 */
public final class WeightStoreBucket {

	private static final double SECOND_NANOS = 1e9;

	private final double bytesPerSecond;

	private final long burstBytes;

	private double available;

	private long updatedAt;

	/**
	 * Creates an empty bucket.
	 * @param bytesPerSecond the rate at which it fills, in bytes a second
	 * @param burstBytes the most that it holds, in bytes
	 * @param now the clock's reading in nanoseconds
	 */
	public WeightStoreBucket(double bytesPerSecond, long burstBytes, long now) {
		Preconditions.check(bytesPerSecond > 0, "bytesPerSecond must be positive: %s", bytesPerSecond);
		Preconditions.check(burstBytes >= 1, "burstBytes must be at least 1: %d", burstBytes);
		this.bytesPerSecond = bytesPerSecond;
		this.burstBytes = burstBytes;
		this.updatedAt = now;
	}

	/**
	 * Takes bytes if the bucket holds them.
	 * @param bytes the bytes to take, no more than the burst
	 * @param now the clock's reading in nanoseconds
	 * @return {@code true} if they were taken
	 */
	public boolean tryTake(long bytes, long now) {
		Preconditions.check(bytes >= 0 && bytes <= this.burstBytes, "bytes must be 0 to %d: %d", this.burstBytes,
				bytes);
		fill(now);
		if (this.available < bytes) {
			return false;
		}
		this.available -= bytes;
		return true;
	}

	/**
	 * Returns how long it takes until bytes are available if no others are taken.
	 * @param bytes the bytes wanted
	 * @param now the clock's reading in nanoseconds
	 * @return the time in nanoseconds, 0 if they are available
	 */
	public long nanosUntil(long bytes, long now) {
		fill(now);
		double missing = Math.max(0, bytes - this.available);
		return (long) Math.ceil(missing / this.bytesPerSecond * SECOND_NANOS);
	}

	/**
	 * Returns the most bytes that one read may take.
	 * @return the burst in bytes
	 */
	public long burstBytes() {
		return this.burstBytes;
	}

	private void fill(long now) {
		if (now > this.updatedAt) {
			double filled = (now - this.updatedAt) / SECOND_NANOS * this.bytesPerSecond;
			this.available = Math.min(this.burstBytes, this.available + filled);
			this.updatedAt = now;
		}
	}

}
