package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * The first step under a map, which stays in use until the next boundary.
 *
 * @param firstStep the first step under the map, zero or greater
 * @param map the map
 * @param attemptId the attempt whose commit set the boundary, or {@link SwitchId#ZERO}
 * for a group's first map
 */
public record MapBoundary(long firstStep, MapRef map, SwitchId attemptId) {

	public MapBoundary {
		Preconditions.check(firstStep >= 0, "firstStep must not be negative: %d", firstStep);
		Preconditions.notNull(map, "map");
		Preconditions.notNull(attemptId, "attemptId");
	}

}
