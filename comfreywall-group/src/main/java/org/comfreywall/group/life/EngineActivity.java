package org.comfreywall.group.life;

/**
 * What the engine of a rank is doing.
 */
public enum EngineActivity {

	/** It loads weights and runs no step. */
	LOADING,
	/** It has no work. */
	IDLE,
	/** It computes its part of a step. */
	COMPUTING,
	/** It has computed its part and waits for the other ranks. */
	WAITING_FOR_PEERS,
	/** It holds a step until a map switch is decided. */
	HOLDING

}
