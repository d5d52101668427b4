package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.LedgerState;

/**
 * The ledger holds a membership.
 *
 * @param state the state with the membership
 */
public record MembershipDurable(LedgerState state) implements GroupEvent {

	public MembershipDurable {
		Preconditions.notNull(state, "state");
	}

}
