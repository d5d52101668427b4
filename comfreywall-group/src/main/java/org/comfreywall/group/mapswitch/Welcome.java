package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends a new member of the group the membership generation and the map timeline.
 *
 * @param number the order's fencing number
 * @param generation the generation of the membership
 * @param timeline the committed map boundaries
 * @param lastDecided the latest decided attempt
 */
public record Welcome(FencingNumber number, long generation, MapTimeline timeline,
		SwitchId lastDecided) implements AgentOrder {

	public Welcome {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(timeline, "timeline");
		Preconditions.notNull(lastDecided, "lastDecided");
		Preconditions.check(generation >= 0, "generation must not be negative: %d", generation);
	}

}
