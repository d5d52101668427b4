package org.comfreywall.control.spread;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * The oldest configuration and order that a newly started node may use.
 * <p>
 * The floor is the result of a linearizable read of the replicated log that started after
 * the node's request. A node that has lost its state in a restart therefore can't return
 * to a replaced configuration or execute an order that a later one has superseded.
 *
 * @param configuration the version of the last committed configuration
 * @param orders the fencing number of the last order issued to any engine
 */
public record Floor(Version configuration, FencingNumber orders) {

	public Floor {
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(orders, "orders");
	}

}
