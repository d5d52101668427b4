package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * A new map is wanted.
 *
 * @param map the map
 */
public record SwitchRequested(MapRef map) implements CoordinatorEvent {

	public SwitchRequested {
		Preconditions.notNull(map, "map");
	}

}
