package org.comfreywall.control.lease;

import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends a grant to its holder; a lost grant is not retransmitted.
 *
 * @param grant the grant
 */
public record SendGrant(LeaseGrant grant) implements LedgerCommand {

	public SendGrant {
		Preconditions.notNull(grant, "grant");
	}

}
