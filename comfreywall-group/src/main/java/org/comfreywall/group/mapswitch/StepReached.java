package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * The engine is ready to start a step and requests permission for it.
 *
 * @param step the step
 */
public record StepReached(long step) implements AgentEvent {

	public StepReached {
		Preconditions.check(step >= 0, "step must not be negative: %d", step);
	}

}
