package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Orders a rank to hold before the first step of a boundary until it receives the
 * decision.
 *
 * @param number the order's fencing number
 * @param boundary the first held step, the new map and the attempt
 * @param askAfterNanos time after arming at which the rank queries the decision even if
 * it has not reached the first step, in nanoseconds
 */
public record ArmSwitch(FencingNumber number, MapBoundary boundary, long askAfterNanos) implements AgentOrder {

	public ArmSwitch {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(boundary, "boundary");
		Preconditions.check(askAfterNanos >= 0, "askAfterNanos must not be negative: %d", askAfterNanos);
	}

}
