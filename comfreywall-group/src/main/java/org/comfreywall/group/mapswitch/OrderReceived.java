package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * The agent received an order from a coordinator.
 *
 * @param addressee the member to which it was sent
 * @param order the order
 */
public record OrderReceived(Member addressee, AgentOrder order) implements AgentEvent {

	public OrderReceived {
		Preconditions.notNull(addressee, "addressee");
		Preconditions.notNull(order, "order");
	}

}
