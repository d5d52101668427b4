package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * The control instance cancelled the switch to a map.
 *
 * @param map the map
 */
public record SwitchCancelled(MapRef map) implements CoordinatorEvent {

	public SwitchCancelled {
		Preconditions.notNull(map, "map");
	}

}
