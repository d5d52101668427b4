package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * A rank holds the loaded weights of a map.
 *
 * @param rank the reporting rank
 * @param member the reporting member
 * @param map the map
 */
public record MapStaged(int rank, Member member, MapRef map) implements AgentReport {

	public MapStaged {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(map, "map");
	}

}
