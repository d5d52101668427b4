package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Refusals of requests, with the time after which a caller is to return. Jitter keeps
 * callers that were refused together from returning together.
 */
final class Refusals {

	private static final long MIN_RETRY_AFTER_NANOS = 200_000_000L;

	static final long MAX_RETRY_AFTER_NANOS = 2_500_000_000L;

	/** The expected time until a server accepts requests if none does. */
	static final long UNKNOWN_WAIT_NANOS = MAX_RETRY_AFTER_NANOS / 2;

	/** Share of the delay over which callers return after a rest of all servers. */
	private static final double MAX_RETURN_JITTER = 0.3;

	/** Share of the delay over which callers return after an outage of a group. */
	private static final double MAX_OUTAGE_JITTER = 0.3;

	private final RandomGenerator random;

	Refusals(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Refuses a request for which there is no slot in time.
	 * @param request the request
	 * @param reason the reason
	 * @param waitNanos the expected wait in nanoseconds
	 * @return the refusal
	 */
	SlotRefused withoutSlot(WaitingRequest request, String reason, long waitNanos) {
		double nanos = Math.max(MIN_RETRY_AFTER_NANOS, Math.min(waitNanos, MAX_RETRY_AFTER_NANOS));
		double jitter = 0.75 + 0.5 * this.random.nextDouble();
		return new SlotRefused(request.id(), reason, Duration.ofNanos((long) (nanos * jitter)));
	}

	/**
	 * Refuses a request because all servers are in evacuated failure domains. The time at
	 * which operators withdraw an evacuation is not known, so the caller is told the
	 * longest delay.
	 * @param request the request
	 * @return the refusal
	 */
	SlotRefused whileEvacuated(WaitingRequest request) {
		return withoutSlot(request, "evacuated", MAX_RETRY_AFTER_NANOS);
	}

	/**
	 * Refuses a request because all groups are in an outage. A caller that returns before
	 * a group serves is refused again, so jitter only lengthens the delay.
	 * @param request the request
	 * @param expectedNanos the expected time until a group serves, in nanoseconds
	 * @return the refusal
	 */
	SlotRefused untilGroupServes(WaitingRequest request, long expectedNanos) {
		double jitter = 1 + MAX_OUTAGE_JITTER * this.random.nextDouble();
		return new SlotRefused(request.id(), "group-fault", Duration.ofNanos((long) (expectedNanos * jitter)));
	}

	/**
	 * Returns how long callers are to stay away because all servers rest.
	 * @param restNanos the time until the first one resumes, in nanoseconds
	 * @return the time with random jitter on top
	 */
	Duration retryAfterRest(long restNanos) {
		double jitter = 1 + MAX_RETURN_JITTER * this.random.nextDouble();
		return Duration.ofNanos((long) (Math.max(MIN_RETRY_AFTER_NANOS, restNanos) * jitter));
	}

}
