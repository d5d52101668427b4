package org.comfreywall.group.mapswitch;

import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank cannot hold for an attempt.
 *
 * @param rank the rank that reports
 * @param member the member that reports
 * @param id the attempt that was refused
 * @param reason why
 * @param lastStep the last step the rank was allowed to start, or -1
 * @param undecided the other attempt whose decision the rank waits for, if any
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
