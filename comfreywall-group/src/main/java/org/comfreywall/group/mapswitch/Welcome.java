package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;

/**
 * Tells a new member of the group what was decided so far.
 *
 * @param number the order's fencing number
 * @param generation the generation of the membership
 * @param timeline the decided boundaries between maps
 * @param lastDecided the latest attempt that was decided
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
