package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounds the memory that one entry holds for callers: headers and bodies of requests,
 * bytes that are not decoded yet, and responses that are not read. A body is held until
 * its request has ended, as the request may be sent again.
 * <p>
 * Answers the load of many callers at the same time, each of which is within the limits
 * of a single one. Not thread-safe.
 */
final class BodyBudget {

	/** A body is held for about as long as a request takes. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(600);

	/** Share of the delay by which callers that are refused together return apart. */
	private static final double JITTER = 0.5;

	/** Share that large requests leave to small ones. */
	private static final int SMALL_SHARE = 8;

	/** Prompts of the usual length, with their headers. */
	private static final long MAX_SMALL_BYTES = 32 << 10;

	/** A request counts as small up to this share as well. */
	private static final int MAX_SMALL_SHARE = 32;

	/** Share of the maximum above which running requests are cut. */
	private static final double CRITICAL_SHARE = 1.5;

	private final long maxBytes;

	private final RandomGenerator random;

	private long usedBytes;

	BodyBudget(long maxBytes, RandomGenerator random) {
		Preconditions.check(maxBytes >= 1, "maxBytes must be at least 1: %d", maxBytes);
		this.maxBytes = maxBytes;
		this.random = Preconditions.notNull(random, "random");
	}

	/**
	 * Reserves memory for a request or a part of one.
	 * @param bytes the number of bytes, not negative
	 * @param reserved the bytes that the request has reserved before
	 * @return {@code false} if they do not fit; nothing is reserved then
	 */
	boolean tryReserve(long bytes, long reserved) {
		boolean fits = missingBytes(bytes, reserved) <= 0;
		if (fits) {
			this.usedBytes += bytes;
		}
		return fits;
	}

	/**
	 * Returns how much must be released before a reservation fits.
	 * @param bytes the number of bytes, not negative
	 * @param reserved the bytes that the request has reserved before
	 * @return the bytes that are missing, not positive if none are
	 */
	long missingBytes(long bytes, long reserved) {
		Preconditions.check(bytes >= 0, "bytes must not be negative: %d", bytes);
		boolean small = bytes + reserved <= Math.min(MAX_SMALL_BYTES, this.maxBytes / MAX_SMALL_SHARE);
		long limit = small ? this.maxBytes : this.maxBytes - this.maxBytes / SMALL_SHARE;
		return this.usedBytes + bytes - limit;
	}

	/**
	 * Counts memory that is already taken, such as for unread responses.
	 * @param bytes the number of bytes, negative if it was released
	 */
	void add(long bytes) {
		this.usedBytes += bytes;
	}

	/**
	 * Returns how much more is used than callers may take.
	 * @return the bytes, not positive if nothing
	 */
	long excessBytes() {
		return this.usedBytes - this.maxBytes;
	}

	/**
	 * Returns whether so much is used that the process would end.
	 * @return {@code true} if requests that run must be cut
	 */
	boolean isCritical() {
		return this.usedBytes > CRITICAL_SHARE * this.maxBytes;
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
