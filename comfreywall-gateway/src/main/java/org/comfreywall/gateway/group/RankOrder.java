package org.comfreywall.gateway.group;

import org.comfreywall.common.util.Preconditions;

/**
 * An order, addressed to one rank.
 *
 * @param server the backend server that runs the rank
 * @param rank the rank's number
 * @param order the order
 */
public record RankOrder(String server, int rank, EngineOrder order) {

	public RankOrder {
		Preconditions.notBlank(server, "server");
		Preconditions.notNull(order, "order");
	}

}
