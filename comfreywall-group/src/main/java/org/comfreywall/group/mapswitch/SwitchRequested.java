package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * The control instance requested a switch to a new map.
 *
 * @param map the map
 */
public record SwitchRequested(MapRef map) implements CoordinatorEvent {

	public SwitchRequested {
		Preconditions.notNull(map, "map");
	}

}
