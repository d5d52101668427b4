package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * All ranks keep the present map.
 *
 * @param id the attempt that was given up
 */
public record AbortDecision(SwitchId id) implements SwitchDecision {

	public AbortDecision {
		Preconditions.notNull(id, "id");
	}

}
