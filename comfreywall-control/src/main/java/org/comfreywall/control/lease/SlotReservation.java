package org.comfreywall.control.lease;

import org.comfreywall.common.util.Preconditions;

/**
 * Computes the durable reservation of a grantor: an upper bound on the in-flight slots
 * that may be in use.
 * <p>
 * The reservation is raised before a grant that exceeds it is sent, and lowered once far
 * fewer slots are in use, so that a successor need not hold back the whole limit. The
 * part for the grantor's own slots changes in powers of two to limit the number of
 * durable writes. The part for slots of earlier grantors is not rounded: each grantor of
 * a sequence would round the sum up again, until the reservation covers the whole limit.
 */
public final class SlotReservation {

	private static final long MIN_SLOTS = 8;

	private static final long LOWER_FACTOR = 4;

	private SlotReservation() {
	}

	/**
	 * Returns the reservation for the present use.
	 * @param reserved the current reservation in slots, not negative
	 * @param use the slots that may be in use
	 * @return the current reservation if it is still suitable, or the new one to store
	 */
	public static long next(long reserved, SlotUse use) {
		Preconditions.check(reserved >= 0, "reserved must not be negative: %d", reserved);
		Preconditions.notNull(use, "use");
		long own = roundUp(use.committed());
		boolean tooLow = use.outstanding() > reserved;
		boolean tooHigh = reserved > use.earlier() + LOWER_FACTOR * own;
		return (tooLow || tooHigh) ? Math.min(use.earlier() + own, use.maximum()) : reserved;
	}

	private static long roundUp(long committed) {
		long slots = MIN_SLOTS;
		while (slots < committed) {
			slots *= 2;
		}
		return slots;
	}

}
