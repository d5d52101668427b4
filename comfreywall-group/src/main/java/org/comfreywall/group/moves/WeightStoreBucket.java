package org.comfreywall.group.moves;

import org.comfreywall.common.util.Preconditions;

/**
 * A token bucket that limits the bytes read from a deployment's weight store.
 * <p>
 * In any window of {@code t} seconds at most {@code burst + rate * t} bytes are granted.
 * One bucket is shared by all groups of a deployment. A new bucket is empty: a full one
 * would grant another burst right after a restart, on top of the reads before it.
 */
public final class WeightStoreBucket {

	private static final double SECOND_NANOS = 1e9;

	private final double bytesPerSecond;

	private final long burstBytes;

	private double available;

	private long lastRefillAt;

	/**
	 * Creates an empty bucket.
	 * @param bytesPerSecond the refill rate in bytes per second
	 * @param burstBytes the capacity in bytes
	 * @param now the current time in nanoseconds
	 */
	public WeightStoreBucket(double bytesPerSecond, long burstBytes, long now) {
		Preconditions.check(bytesPerSecond > 0, "bytesPerSecond must be positive: %s", bytesPerSecond);
		Preconditions.check(burstBytes >= 1, "burstBytes must be at least 1: %d", burstBytes);
		this.bytesPerSecond = bytesPerSecond;
		this.burstBytes = burstBytes;
		this.lastRefillAt = now;
	}

	/**
	 * Takes bytes from the bucket if enough are available.
	 * @param bytes the number of bytes, at most the capacity
	 * @param now the current time in nanoseconds
	 * @return {@code true} if they were taken
	 */
	public boolean tryTake(long bytes, long now) {
		Preconditions.check(bytes >= 0 && bytes <= this.burstBytes, "bytes must be 0 to %d: %d", this.burstBytes,
				bytes);
		refill(now);
		if (this.available < bytes) {
			return false;
		}
		this.available -= bytes;
		return true;
	}

	/**
	 * Returns the time until bytes are available, if none are taken before.
	 * @param bytes the number of bytes
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, 0 if they are available now
	 */
	public long nanosUntilAvailable(long bytes, long now) {
		refill(now);
		double missing = Math.max(0, bytes - this.available);
		return (long) Math.ceil(missing / this.bytesPerSecond * SECOND_NANOS);
	}

	/**
	 * Returns the capacity of the bucket, which is the maximum size of a single read.
	 * @return the capacity in bytes
	 */
	public long burstBytes() {
		return this.burstBytes;
	}

	private void refill(long now) {
		if (now > this.lastRefillAt) {
			double filled = (now - this.lastRefillAt) / SECOND_NANOS * this.bytesPerSecond;
			this.available = Math.min(this.burstBytes, this.available + filled);
			this.lastRefillAt = now;
		}
	}

}
