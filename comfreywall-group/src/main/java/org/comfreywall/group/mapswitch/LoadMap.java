package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * Makes the engine load the weights of a map in addition to those in use.
 *
 * @param number the highest accepted fencing number
 * @param map the map
 */
public record LoadMap(FencingNumber number, MapRef map) implements AgentCommand {

	public LoadMap {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(map, "map");
	}

}
