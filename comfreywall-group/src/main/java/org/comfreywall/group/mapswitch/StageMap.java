package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * Orders a rank to load the weights of a map in addition to those in use. The order
 * carries only the reference; the map itself is fetched by its digest.
 *
 * @param number the order's fencing number
 * @param map the map to load
 */
public record StageMap(FencingNumber number, MapRef map) implements AgentOrder {

	public StageMap {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(map, "map");
	}

}
