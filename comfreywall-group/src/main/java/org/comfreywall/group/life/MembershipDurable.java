package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.LedgerState;

/**
 * A membership became durable in the ledger.
 *
 * @param state the ledger state that holds the membership
 */
public record MembershipDurable(LedgerState state) implements GroupEvent {

	public MembershipDurable {
		Preconditions.notNull(state, "state");
	}

}
