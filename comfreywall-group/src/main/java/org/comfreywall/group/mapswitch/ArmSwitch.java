package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Orders a rank not to start a step, or any later one, before it knows the decision.
 *
 * @param number the order's fencing number
 * @param boundary the step to hold at, the map to hold for and the attempt
 * @param askAfterNanos how long the rank waits for the decision before it asks, in
 * nanoseconds
 */
public record ArmSwitch(FencingNumber number, MapBoundary boundary, long askAfterNanos) implements AgentOrder {

	public ArmSwitch {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(boundary, "boundary");
		Preconditions.check(askAfterNanos >= 0, "askAfterNanos must not be negative: %d", askAfterNanos);
	}

}
