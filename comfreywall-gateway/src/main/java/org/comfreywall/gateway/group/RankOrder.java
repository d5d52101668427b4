package org.comfreywall.gateway.group;

import org.comfreywall.common.util.Preconditions;

/**
 * An {@link EngineOrder} and the rank whose engine executes it.
 *
 * @param server the backend server that runs the rank
 * @param rank the rank's number
 * @param order the order to the rank's engine
 */
public record RankOrder(String server, int rank, EngineOrder order) {

	public RankOrder {
		Preconditions.notBlank(server, "server");
		Preconditions.notNull(order, "order");
	}

}
