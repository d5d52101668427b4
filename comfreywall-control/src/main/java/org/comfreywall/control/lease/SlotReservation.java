package org.comfreywall.control.lease;

import org.comfreywall.common.util.Preconditions;

/**
 * The rule by which a grantor keeps a durable bound on the in-flight slots that may be in
 * use.
 * <p>
 * The bound is raised before a grant beyond it leaves, and lowered once little is in use,
 * so that a successor need not keep back a whole limit. It moves in powers of two, so
 * that few changes are written.
 */
public final class SlotReservation {

	private static final long SMALLEST = 8;

	private static final long LOWER_FACTOR = 4;

	private SlotReservation() {
	}

	/**
	 * Returns the reservation to be made durable.
	 * @param reserved the present reservation, zero or greater
	 * @param outstanding the slots that may be in use, zero or greater
	 * @return the present reservation if it fits, or the new one
	 */
	public static long next(long reserved, long outstanding) {
		Preconditions.check(reserved >= 0, "reserved must not be negative: %d", reserved);
		Preconditions.check(outstanding >= 0, "outstanding must not be negative: %d", outstanding);
		long fitting = fitting(outstanding);
		boolean tooLow = outstanding > reserved;
		boolean tooHigh = reserved > LOWER_FACTOR * fitting;
		return (tooLow || tooHigh) ? fitting : reserved;
	}

	private static long fitting(long outstanding) {
		long slots = SMALLEST;
		while (slots < outstanding) {
			slots *= 2;
		}
		return slots;
	}

}
