package org.comfreywall.group.mapswitch;

/**
 * Reasons for which the ledger refuses a write.
 */
public enum LedgerRefusal {

	/** The writer's term is not the present one. */
	OLD_TERM,
	/** The membership changed after the ranks were armed. */
	OTHER_GENERATION,
	/** Not every rank has a member. */
	INCOMPLETE_GROUP,
	/** The boundary does not lie after the last one. */
	STEP_NOT_AFTER_LAST,
	/** The group has a map already. */
	MAP_INSTALLED,
	/** The rank does not exist, or the member holds another rank. */
	INVALID_RANK,
	/** The member, or a later life of its server, was a member before. */
	REUSED_MEMBER

}
