package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * All ranks keep the current map.
 *
 * @param id the aborted attempt
 */
public record AbortDecision(SwitchId id) implements SwitchDecision {

	public AbortDecision {
		Preconditions.notNull(id, "id");
	}

}
