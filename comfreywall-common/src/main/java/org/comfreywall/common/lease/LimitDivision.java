package org.comfreywall.common.lease;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.util.Preconditions;

/**
 * Divides each limit once and for all between the primary grantor and the grantors that
 * serve their surroundings while these are cut off.
 *
 * @param reserveShare the part of each limit set aside for all reserve grantors together
 * @param reserveGrantors the number of reserve grantors
 */
public record LimitDivision(double reserveShare, int reserveGrantors) {

	/** Leaves everything to the primary grantor. */
	public static final LimitDivision UNDIVIDED = new LimitDivision(0, 1);

	public LimitDivision {
		Preconditions.check(reserveShare >= 0 && reserveShare < 1, "reserveShare must be in [0, 1): %s", reserveShare);
		Preconditions.check(reserveGrantors >= 1, "reserveGrantors must be at least 1: %d", reserveGrantors);
	}

	/**
	 * Returns what the primary grantor may give out.
	 * @param limits the limits of a client account
	 * @return the primary part
	 */
	public LimitPart primary(AccountLimits limits) {
		return new LimitPart(limits.requestsPerSecond() * (1 - this.reserveShare),
				limits.tokensPerSecond() * (1 - this.reserveShare),
				limits.inFlight() - reserveSlots(limits) * this.reserveGrantors);
	}

	/**
	 * Returns what each reserve grantor may give out.
	 * @param limits the limits of a client account
	 * @return the part of one reserve grantor
	 */
	public LimitPart reserve(AccountLimits limits) {
		double share = this.reserveShare / this.reserveGrantors;
		return new LimitPart(limits.requestsPerSecond() * share, limits.tokensPerSecond() * share,
				reserveSlots(limits));
	}

	private long reserveSlots(AccountLimits limits) {
		return (long) (limits.inFlight() * this.reserveShare / this.reserveGrantors);
	}

}
