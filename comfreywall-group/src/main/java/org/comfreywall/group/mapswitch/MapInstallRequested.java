package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * A newly formed group needs its first map.
 *
 * @param map the map
 */
public record MapInstallRequested(MapRef map) implements CoordinatorEvent {

	public MapInstallRequested {
		Preconditions.notNull(map, "map");
	}

}
