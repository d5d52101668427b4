package org.comfreywall.control.log;

/**
 * Roles of an instance in the replicated log.
 */
public enum Role {

	/** Follows a leader or waits for one. */
	FOLLOWER,
	/** Asks in a pre-vote round whether others would vote for it. */
	PRE_CANDIDATE,
	/** Requests votes for a new term. */
	CANDIDATE,
	/** Accepts proposals and replicates them. */
	LEADER,
	/** Has stopped participating because its storage failed. */
	DISABLED

}
