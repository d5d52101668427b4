package org.comfreywall.common.lease;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Durations on which the grantor and all holders of leases must agree.
 *
 * @param rateTerm how long granted requests and tokens may be spent, on the grantor's
 * clock
 * @param slotTerm how long granted in-flight slots may admit requests, on the grantor's
 * clock
 * @param longestRequest the longest time a request may stay in flight after its admission
 * @param burst the depth of the token bucket, as the time in which the limit's rate fills
 * it
 * @param askInterval the time between two asks of a holder for one client account
 * @param clockDrift the greatest relative error of any instance's monotonic clock, such
 * as 0.001
 */
public record LeaseTerms(Duration rateTerm, Duration slotTerm, Duration longestRequest, Duration burst,
		Duration askInterval, double clockDrift) {

	/** The terms used unless the settings say otherwise. */
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
	 * Shortens a term counted from the sending of an ask on the holder's clock, so that
	 * it ends before the grantor's, whichever clock is fast.
	 * @param term the grantor's term
	 * @return the holder's term in nanoseconds
	 */
	public long holderNanos(Duration term) {
		return (long) (term.toNanos() * (1 - this.clockDrift) / (1 + this.clockDrift));
	}

	/**
	 * Lengthens a time counted on a holder's clock so that it has passed there, whichever
	 * clock is fast.
	 * @param duration the time on the holder's clock
	 * @return the time to wait on the grantor's clock in nanoseconds
	 */
	public long grantorNanos(Duration duration) {
		return (long) Math.ceil(duration.toNanos() * (1 + this.clockDrift) / (1 - this.clockDrift));
	}

	private static void requirePositive(Duration duration, String name) {
		Preconditions.notNull(duration, name);
		Preconditions.check(!duration.isNegative() && !duration.isZero(), "%s must be positive: %s", name, duration);
	}

}
