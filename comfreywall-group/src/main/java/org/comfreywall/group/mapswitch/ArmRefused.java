package org.comfreywall.group.mapswitch;

import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank rejected the arm order of an attempt.
 *
 * @param rank the reporting rank
 * @param member the reporting member
 * @param id the rejected attempt
 * @param reason the reason for the rejection
 * @param lastStep the last step the rank was allowed to start, or -1
 * @param undecided the other attempt that the rank is armed for, if any
 */
public record ArmRefused(int rank, Member member, SwitchId id, ArmRefusal reason, long lastStep,
		Optional<SwitchId> undecided) implements AgentReport {

	public ArmRefused {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(id, "id");
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(undecided, "undecided");
	}

}
