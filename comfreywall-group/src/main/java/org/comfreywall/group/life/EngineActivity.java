package org.comfreywall.group.life;

/**
 * Activities of a rank's engine.
 */
public enum EngineActivity {

	/** Loads weights and runs no step. */
	LOADING,
	/** Has no work. */
	IDLE,
	/** Computes its part of a step. */
	COMPUTING,
	/** Has computed its part of a step and waits for the other ranks. */
	WAITING_FOR_PEERS,
	/** Holds before a step until a map switch is decided. */
	HOLDING

}
