package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * All ranks use the new map from the first step of the boundary onward.
 *
 * @param boundary the first step, the map and the attempt
 */
public record CommitDecision(MapBoundary boundary) implements SwitchDecision {

	public CommitDecision {
		Preconditions.notNull(boundary, "boundary");
	}

	@Override
	public SwitchId id() {
		return this.boundary.attemptId();
	}

}
