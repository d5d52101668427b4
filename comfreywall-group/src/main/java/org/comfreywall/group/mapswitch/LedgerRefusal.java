package org.comfreywall.group.mapswitch;

/**
 * Reasons why the ledger rejects a write.
 */
public enum LedgerRefusal {

	/** The write does not belong to the current term. */
	OLD_TERM,
	/** The membership changed after the ranks were armed. */
	OTHER_GENERATION,
	/** Not every rank has a member. */
	INCOMPLETE_GROUP,
	/** The first step of the boundary is not after that of the previous boundary. */
	STEP_NOT_AFTER_LAST,
	/** The group already has a different first map. */
	MAP_INSTALLED,
	/** The rank does not exist, or another rank is assigned to the member's server. */
	INVALID_RANK,
	/** This incarnation of the server, or a later one, was already a member. */
	REUSED_MEMBER

}
