package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * A requested switch ended.
 *
 * @param map the requested map
 * @param outcome the outcome
 */
public record SwitchEnded(MapRef map, SwitchOutcome outcome) implements CoordinatorCommand {

	public SwitchEnded {
		Preconditions.notNull(map, "map");
		Preconditions.notNull(outcome, "outcome");
	}

}
