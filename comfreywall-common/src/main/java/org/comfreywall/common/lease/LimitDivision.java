package org.comfreywall.common.lease;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.util.Preconditions;

/**
 * Static division of each account limit between the primary grantor and the reserve
 * grantors, which serve the holders near them that a network partition separates from the
 * primary grantor. As the division is fixed, the sum of all grants stays within the limit
 * without coordination.
 *
 * @param reserveShare the fraction of each limit reserved for all reserve grantors
 * together
 * @param reserveGrantors the number of reserve grantors
 */
public record LimitDivision(double reserveShare, int reserveGrantors) {

	/** Assigns all limits to the primary grantor. */
	public static final LimitDivision UNDIVIDED = new LimitDivision(0, 1);

	public LimitDivision {
		Preconditions.check(reserveShare >= 0 && reserveShare < 1, "reserveShare must be in [0, 1): %s", reserveShare);
		Preconditions.check(reserveGrantors >= 1, "reserveGrantors must be at least 1: %d", reserveGrantors);
	}

	/**
	 * Returns the limits within which the primary grantor may issue grants.
	 * @param limits the limits of a client account
	 * @return the limits of the primary grantor
	 */
	public GrantorLimits primaryLimits(AccountLimits limits) {
		return new GrantorLimits(limits.requestsPerSecond() * (1 - this.reserveShare),
				limits.tokensPerSecond() * (1 - this.reserveShare),
				limits.inFlight() - reserveSlots(limits) * this.reserveGrantors);
	}

	/**
	 * Returns the limits within which each reserve grantor may issue grants.
	 * @param limits the limits of a client account
	 * @return the limits of one reserve grantor
	 */
	public GrantorLimits reserveLimits(AccountLimits limits) {
		double share = this.reserveShare / this.reserveGrantors;
		return new GrantorLimits(limits.requestsPerSecond() * share, limits.tokensPerSecond() * share,
				reserveSlots(limits));
	}

	private long reserveSlots(AccountLimits limits) {
		return (long) (limits.inFlight() * this.reserveShare / this.reserveGrantors);
	}

}
