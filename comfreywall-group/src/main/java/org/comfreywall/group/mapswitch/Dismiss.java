package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Tells an agent that another member has its rank; its engine starts no step any more.
 *
 * @param number the order's fencing number
 */
public record Dismiss(FencingNumber number) implements AgentOrder {

	public Dismiss {
		Preconditions.notNull(number, "number");
	}

}
