package org.comfreywall.group.life;

/**
 * An event in the life of a group.
 */
public sealed interface GroupEvent permits MemberAnnounced, HeartbeatReceived, MemberExited, ProbeAnswered, ProbeFailed,
		MembershipDurable, DissolveRequested, GroupTick {

}
