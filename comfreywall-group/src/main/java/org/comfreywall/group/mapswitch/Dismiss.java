package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Orders an agent to start no more steps because its rank is assigned to another member.
 *
 * @param number the order's fencing number
 */
public record Dismiss(FencingNumber number) implements AgentOrder {

	public Dismiss {
		Preconditions.notNull(number, "number");
	}

}
