package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * The ledger holds a new membership.
 *
 * @param state the state with the membership
 */
public record MembershipChanged(LedgerState state) implements CoordinatorCommand {

	public MembershipChanged {
		Preconditions.notNull(state, "state");
	}

}
