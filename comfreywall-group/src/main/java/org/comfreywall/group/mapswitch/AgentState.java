package org.comfreywall.group.mapswitch;

/**
 * States of a rank's agent.
 */
public enum AgentState {

	/** Waiting for the engine to connect and report its state. */
	CONNECTING,
	/** Waiting for the group's map timeline from the coordinator. */
	JOINING,
	/** The engine may start steps. */
	ACTIVE,
	/** The rank was assigned to another member, or an invariant was violated. */
	DISMISSED

}
