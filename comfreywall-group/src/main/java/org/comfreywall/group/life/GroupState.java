package org.comfreywall.group.life;

/**
 * States of a group.
 */
public enum GroupState {

	/** Not every rank has started a step yet. */
	FORMING,
	/** All ranks run, and the group receives requests. */
	RUNNING,
	/**
	 * A rank failed or stalled; no requests are routed to the group until all ranks run
	 * again.
	 */
	REFORMING,
	/** The group was dissolved and its members were released. */
	DISSOLVED

}
