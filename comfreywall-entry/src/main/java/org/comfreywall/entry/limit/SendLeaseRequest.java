package org.comfreywall.entry.limit;

import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends a lease request to a grantor. A lost one is not retransmitted; the next one
 * follows within the request interval.
 *
 * @param grantor the receiving grantor
 * @param request the lease request
 */
public record SendLeaseRequest(GrantorRole grantor, LeaseRequest request) implements LimitCommand {

	public SendLeaseRequest {
		Preconditions.notNull(grantor, "grantor");
		Preconditions.notNull(request, "request");
	}

}
