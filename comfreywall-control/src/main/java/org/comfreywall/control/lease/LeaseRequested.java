package org.comfreywall.control.lease;

import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.util.Preconditions;

/**
 * A holder's lease request has arrived.
 *
 * @param request the request
 */
public record LeaseRequested(LeaseRequest request) implements LedgerEvent {

	public LeaseRequested {
		Preconditions.notNull(request, "request");
	}

}
