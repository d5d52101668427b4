package org.comfreywall.control.lease;

import org.comfreywall.common.util.Preconditions;

/**
 * Computes the durable reservation of a grantor: an upper bound on the in-flight slots
 * that may be in use.
 * <p>
 * The reservation is raised before a grant that exceeds it is sent, and lowered once far
 * fewer slots are in use, so that a successor need not hold back the whole limit. It
 * changes in powers of two to limit the number of durable writes.
 */
public final class SlotReservation {

	private static final long MIN_SLOTS = 8;

	private static final long LOWER_FACTOR = 4;

	private SlotReservation() {
	}

	/**
	 * Returns the reservation for the present use.
	 * @param reserved the current reservation in slots, not negative
	 * @param outstanding the slots that may be in use, not negative
	 * @return the current reservation if it is still suitable, or the new one to store
	 */
	public static long next(long reserved, long outstanding) {
		Preconditions.check(reserved >= 0, "reserved must not be negative: %d", reserved);
		Preconditions.check(outstanding >= 0, "outstanding must not be negative: %d", outstanding);
		long suitable = suitable(outstanding);
		boolean tooLow = outstanding > reserved;
		boolean tooHigh = reserved > LOWER_FACTOR * suitable;
		return (tooLow || tooHigh) ? suitable : reserved;
	}

	private static long suitable(long outstanding) {
		long slots = MIN_SLOTS;
		while (slots < outstanding) {
			slots *= 2;
		}
		return slots;
	}

}
