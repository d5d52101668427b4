package org.comfreywall.control.spread;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * A node that holds an older revision than its relay.
 *
 * @param id the node
 * @param number the revision that the node was last known to hold
 */
public record Laggard(InstanceId id, long number) {

	public Laggard {
		Preconditions.notNull(id, "id");
	}

}
