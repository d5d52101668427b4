package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * All ranks use the new map from the boundary on.
 *
 * @param boundary the first step and the map
 */
public record CommitDecision(MapBoundary boundary) implements SwitchDecision {

	public CommitDecision {
		Preconditions.notNull(boundary, "boundary");
	}

	@Override
	public SwitchId id() {
		return this.boundary.decidedBy();
	}

}
