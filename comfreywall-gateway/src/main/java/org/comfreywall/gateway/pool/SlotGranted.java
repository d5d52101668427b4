package org.comfreywall.gateway.pool;

import org.comfreywall.common.util.Preconditions;

/**
 * The request is to be sent now. It occupies a slot until
 * {@link ServicePool#release(PoolServer, AttemptResult, long, long)}.
 *
 * @param request the request's identifier at this entry
 * @param server the backend server to send it to
 */
public record SlotGranted(long request, PoolServer server) implements SlotDecision {

	public SlotGranted {
		Preconditions.notNull(server, "server");
	}

}
