package org.comfreywall.control.log;

/**
 * Roles of an instance in the replicated log.
 */
public enum Role {

	/** Follows a leader or waits for one. */
	FOLLOWER,
	/** Asks whether others would vote for it. */
	PRE_CANDIDATE,
	/** Asks for votes. */
	CANDIDATE,
	/** Leads. */
	LEADER,
	/** Takes no part any more because its storage failed. */
	DISABLED

}
