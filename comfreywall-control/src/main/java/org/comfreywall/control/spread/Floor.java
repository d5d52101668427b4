package org.comfreywall.control.spread;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * The lower bounds that a newly started node must observe, as returned by a linearizable
 * read of the control instances' log. A node that requested the floor before the read
 * must not use an older configuration or execute an older order.
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
