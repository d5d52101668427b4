package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * A member is to be added, promoted or removed.
 *
 * @param proposal identifies the proposal in the answer
 * @param change the change
 */
public record MembershipProposed(long proposal, MembershipChange change) implements LogEvent {

	public MembershipProposed {
		Preconditions.notNull(change, "change");
	}

}
