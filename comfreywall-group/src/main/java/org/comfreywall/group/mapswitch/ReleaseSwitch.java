package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Tells a rank how an attempt was decided.
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
