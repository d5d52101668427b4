package org.comfreywall.group.life;

/**
 * An input event of the group's lifecycle core.
 */
public sealed interface GroupEvent permits MemberAnnounced, HeartbeatReceived, MemberExited, ProbeAnswered, ProbeFailed,
		MembershipDurable, DissolveRequested, GroupTick {

}
