package org.comfreywall.entry.limit;

import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends an ask to a grantor; a lost one need not be sent again.
 *
 * @param grantor the grantor to send it to
 * @param request the ask
 */
public record SendAsk(GrantorRole grantor, LeaseRequest request) implements LimitCommand {

	public SendAsk {
		Preconditions.notNull(grantor, "grantor");
		Preconditions.notNull(request, "request");
	}

}
