package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * Lets the engine run a step.
 *
 * @param number the fencing number of the latest order obeyed
 * @param step the step
 * @param map the map under which it runs
 */
public record GrantStep(FencingNumber number, long step, MapRef map) implements AgentCommand {

	public GrantStep {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(map, "map");
	}

}
