package org.comfreywall.control.lease;

import org.comfreywall.common.util.Preconditions;

/**
 * The in-flight slots of a client account that may be in use.
 *
 * @param committed the slots that the present grantor granted or that holders have
 * reported to it
 * @param earlier the slots that earlier grantors may have granted and that no holder has
 * reported
 * @param maximum the most slots that can be in use, as no grantor exceeds the limit
 */
public record SlotUse(long committed, long earlier, long maximum) {

	/** No slot is in use. */
	public static final SlotUse NONE = new SlotUse(0, 0, 0);

	public SlotUse {
		Preconditions.check(committed >= 0, "committed must not be negative: %d", committed);
		Preconditions.check(earlier >= 0, "earlier must not be negative: %d", earlier);
		Preconditions.check(maximum >= committed, "maximum must be at least %d: %d", committed, maximum);
	}

	/**
	 * Returns the number of slots that may be in use.
	 * @return the number of slots
	 */
	public long outstanding() {
		return Math.min(this.committed + this.earlier, this.maximum);
	}

}
