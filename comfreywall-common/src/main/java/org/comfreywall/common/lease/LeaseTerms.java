package org.comfreywall.common.lease;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Lease durations and clock bounds that must be equal on the grantor and all holders.
 *
 * @param rateTerm the duration of a lease of requests and tokens, measured on the
 * grantor's clock
 * @param slotTerm the duration of a lease of in-flight slots, measured on the grantor's
 * clock; requests may be admitted into the slots until it ends
 * @param longestRequest the maximum time that a request may stay in flight after its
 * admission
 * @param burst the capacity of the token bucket, given as the time in which the limit's
 * rate fills it
 * @param askInterval the interval between a holder's regular lease requests for one
 * client account
 * @param clockDrift the maximum relative rate error of any instance's monotonic clock,
 * such as 0.001
 */
public record LeaseTerms(Duration rateTerm, Duration slotTerm, Duration longestRequest, Duration burst,
		Duration askInterval, double clockDrift) {

	/** The terms used unless the settings override them. */
	public static final LeaseTerms DEFAULT = new LeaseTerms(Duration.ofSeconds(1), Duration.ofSeconds(3),
			Duration.ofSeconds(120), Duration.ofSeconds(2), Duration.ofMillis(400), 0.001);

	public LeaseTerms {
		requirePositive(rateTerm, "rateTerm");
		requirePositive(slotTerm, "slotTerm");
		requirePositive(longestRequest, "longestRequest");
		requirePositive(burst, "burst");
		requirePositive(askInterval, "askInterval");
		Preconditions.check(clockDrift >= 0 && clockDrift < 0.1, "clockDrift must be in [0, 0.1): %s", clockDrift);
		Preconditions.check(burst.compareTo(rateTerm) > 0, "burst %s must be longer than rateTerm %s", burst, rateTerm);
	}

	/**
	 * Returns the duration of a lease as the holder measures it, on its own clock and
	 * from the moment it sent the lease request. It is shortened by the maximum clock
	 * drift, so that the lease never ends later on the holder than on the grantor.
	 * @param term the lease duration on the grantor's clock
	 * @return the lease duration on the holder's clock in nanoseconds
	 */
	public long holderLeaseNanos(Duration term) {
		return (long) (term.toNanos() * (1 - this.clockDrift) / (1 + this.clockDrift));
	}

	/**
	 * Returns how long the grantor must wait, on its own clock, until a duration has
	 * certainly elapsed on a holder's clock. It is lengthened by the maximum clock drift.
	 * @param duration the duration on the holder's clock
	 * @return the time to wait on the grantor's clock in nanoseconds
	 */
	public long grantorWaitNanos(Duration duration) {
		return (long) Math.ceil(duration.toNanos() * (1 + this.clockDrift) / (1 - this.clockDrift));
	}

	private static void requirePositive(Duration duration, String name) {
		Preconditions.notNull(duration, name);
		Preconditions.check(!duration.isNegative() && !duration.isZero(), "%s must be positive: %s", name, duration);
	}

}
