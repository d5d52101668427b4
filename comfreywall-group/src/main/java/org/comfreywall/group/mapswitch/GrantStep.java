package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * Allows the engine to start a step.
 *
 * @param number the highest accepted fencing number
 * @param step the step
 * @param map the map under which the step runs
 */
public record GrantStep(FencingNumber number, long step, MapRef map) implements AgentCommand {

	public GrantStep {
		Preconditions.notNull(number, "number");
		Preconditions.notNull(map, "map");
	}

}
