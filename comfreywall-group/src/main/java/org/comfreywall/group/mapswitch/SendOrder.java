package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * Sends an order to the agent of a rank.
 *
 * @param rank the rank
 * @param addressee the member that must carry out the order; other incarnations ignore it
 * @param order the order
 */
public record SendOrder(int rank, Member addressee, AgentOrder order) implements CoordinatorCommand {

	public SendOrder {
		Preconditions.notNull(addressee, "addressee");
		Preconditions.notNull(order, "order");
	}

}
