package org.comfreywall.control.spread;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * A node at which an older configuration revision is in force than the target revision.
 *
 * @param id the node
 * @param number the last revision that the node reported
 */
public record Laggard(InstanceId id, long number) {

	public Laggard {
		Preconditions.notNull(id, "id");
	}

}
