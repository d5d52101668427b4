package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * The response to a request for the floor.
 *
 * @param nonce the nonce of the request
 * @param floor the floor, confirmed by a quorum after the request was sent
 */
public record FloorResponse(long nonce, Floor floor) implements RelayTreeMessage {

	public FloorResponse {
		Preconditions.notNull(floor, "floor");
	}

}
