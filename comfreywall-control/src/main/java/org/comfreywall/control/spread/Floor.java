package org.comfreywall.control.spread;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * What a quorum of control instances confirmed at one moment; nothing older may be used
 * by a node that asked before that moment.
 *
 * @param configuration the version of the last accepted configuration
 * @param orders the number of the last order issued to any engine
 */
public record Floor(Version configuration, FencingNumber orders) {

	public Floor {
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(orders, "orders");
	}

}
