package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * The engine has loaded the weights of a map.
 *
 * @param map the map
 */
public record EngineLoaded(MapRef map) implements AgentEvent {

	public EngineLoaded {
		Preconditions.notNull(map, "map");
	}

}
