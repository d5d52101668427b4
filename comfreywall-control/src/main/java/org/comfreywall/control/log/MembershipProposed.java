package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * A membership change is proposed.
 *
 * @param proposal identifies the proposal in {@link ProposalAccepted} or
 * {@link ProposalRefused}
 * @param change the change
 */
public record MembershipProposed(long proposal, MembershipChange change) implements LogEvent {

	public MembershipProposed {
		Preconditions.notNull(change, "change");
	}

}
