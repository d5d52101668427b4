package org.comfreywall.control.spread;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * A node that lags behind: the configuration revision in force at it is older than the
 * one whose coverage is determined.
 *
 * @param id the node
 * @param revision the last reported revision in force at the node, or zero if it has not
 * reported any
 */
public record LaggingNode(InstanceId id, long revision) {

	public LaggingNode {
		Preconditions.notNull(id, "id");
	}

}
