package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * A requested switch came to its end.
 *
 * @param map the map that was requested
 * @param outcome how it ended
 */
public record SwitchEnded(MapRef map, SwitchOutcome outcome) implements CoordinatorCommand {

	public SwitchEnded {
		Preconditions.notNull(map, "map");
		Preconditions.notNull(outcome, "outcome");
	}

}
