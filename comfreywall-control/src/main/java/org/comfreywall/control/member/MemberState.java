package org.comfreywall.control.member;

/**
 * The state of a member.
 */
public enum MemberState {

	/** The member accepts new work. */
	ACTIVE,
	/** The member completes its running work and accepts no new work. */
	LEAVING,
	/** The leader has declared the member failed or delays its return. */
	FAILED

}
