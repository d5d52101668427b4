package org.comfreywall.gateway.group;

import org.comfreywall.common.util.Preconditions;

/**
 * Prepares a map: the rank copies the experts that it does not hold yet.
 *
 * @param epoch the group's epoch
 * @param version the map's version, higher than all earlier ones
 * @param layout the experts of each rank under the map
 */
public record PrepareMap(long epoch, long version, ExpertLayout layout) implements EngineOrder {

	public PrepareMap {
		Preconditions.notNull(layout, "layout");
	}

}
