package org.comfreywall.control.member;

/**
 * States of a member.
 */
public enum MemberState {

	/** The member takes work. */
	ACTIVE,
	/** The member finishes what it has and takes no new work. */
	LEAVING,
	/** The member was judged to have failed. */
	FAILED

}
