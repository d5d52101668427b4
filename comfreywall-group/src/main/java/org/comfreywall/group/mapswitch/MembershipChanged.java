package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * The durable membership may have changed.
 *
 * @param state the ledger state that holds the membership
 */
public record MembershipChanged(LedgerState state) implements CoordinatorCommand {

	public MembershipChanged {
		Preconditions.notNull(state, "state");
	}

}
