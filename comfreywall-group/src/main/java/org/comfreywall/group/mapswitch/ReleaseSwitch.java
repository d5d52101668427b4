package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends a rank the decision of an attempt, which ends the hold.
 *
 * @param number the order's fencing number
 * @param decision the durable decision
 */
public record ReleaseSwitch(FencingNumber number, SwitchDecision decision) implements AgentOrder {

	public ReleaseSwitch {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(decision, "decision");
	}

}
