package org.comfreywall.control.member;

/**
 * States of a member.
 */
public enum MemberState {

	/** The member accepts new work. */
	ACTIVE,
	/** The member completes its current work and accepts no new work. */
	LEAVING,
	/** The leader has confirmed that the member failed. */
	FAILED

}
