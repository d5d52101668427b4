package org.comfreywall.bench.mapswitch;

import java.util.Optional;

import org.comfreywall.group.map.MapRef;

/**
 * Gives a {@link FakeEngine} access to the simulated time, the group's steps and the
 * weight store.
 */
interface EngineEnvironment {

	/**
	 * Returns the virtual time.
	 * @return the time in nanoseconds
	 */
	long now();

	/**
	 * Returns the last step that all ranks have completed.
	 * @return the step, or -1 if none has been completed
	 */
	long completedStep();

	/**
	 * Called when the engine starts a step.
	 * @param step the step
	 * @param weights the map whose weights the engine uses; empty if it has none
	 * @param waitedNanos how long the engine was ready before it was permitted to start
	 * the step, in nanoseconds
	 */
	void onStepStarted(long step, Optional<MapRef> weights, long waitedNanos);

	/**
	 * Loads the weights of a map.
	 * @param done runs when the weights are loaded
	 */
	void loadMap(Runnable done);

}
