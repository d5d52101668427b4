package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounds the memory of the request bodies that one entry holds. A body is held until its
 * request has ended, as the request may be sent again.
 * <p>
 * Answers the load of many large bodies at the same time, each of which is within the
 * limit of a single one. Not thread-safe.
 */
final class BodyBudget {

	/** A body is held for about as long as a request takes. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(600);

	/** Share of the delay by which callers that are refused together return apart. */
	private static final double JITTER = 0.5;

	private final long maxBytes;

	private final RandomGenerator random;

	private long usedBytes;

	BodyBudget(long maxBytes, RandomGenerator random) {
		Preconditions.check(maxBytes >= 1, "maxBytes must be at least 1: %d", maxBytes);
		this.maxBytes = maxBytes;
		this.random = Preconditions.notNull(random, "random");
	}

	/**
	 * Reserves memory for a body or a part of one.
	 * @param bytes the number of bytes, not negative
	 * @return {@code false} if they do not fit; nothing is reserved then
	 */
	boolean tryReserve(long bytes) {
		Preconditions.check(bytes >= 0, "bytes must not be negative: %d", bytes);
		boolean fits = bytes <= this.maxBytes - this.usedBytes;
		if (fits) {
			this.usedBytes += bytes;
		}
		return fits;
	}

	void release(long bytes) {
		this.usedBytes -= bytes;
	}

	long usedBytes() {
		return this.usedBytes;
	}

	/**
	 * Returns the time after which a caller whose body did not fit may return.
	 * @return the time, with random jitter
	 */
	Duration retryAfter() {
		return Duration.ofNanos((long) (RETRY_AFTER.toNanos() * (1 + JITTER * this.random.nextDouble())));
	}

}
