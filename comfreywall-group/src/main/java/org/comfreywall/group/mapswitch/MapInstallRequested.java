package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * The control instance requested the first map of a newly formed group.
 *
 * @param map the map
 */
public record MapInstallRequested(MapRef map) implements CoordinatorEvent {

	public MapInstallRequested {
		Preconditions.notNull(map, "map");
	}

}
