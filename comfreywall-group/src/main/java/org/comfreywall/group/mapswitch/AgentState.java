package org.comfreywall.group.mapswitch;

/**
 * States of a rank's agent.
 */
public enum AgentState {

	/** The engine's state is not yet known. */
	CONNECTING,
	/** The decisions so far are not yet known. */
	JOINING,
	/** The engine may run steps. */
	ACTIVE,
	/** Another member has the rank, or an invariant was breached. */
	DISMISSED

}
