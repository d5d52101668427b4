package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * Answers a node that asked for the floor.
 *
 * @param nonce the number that the node sent
 * @param floor the floor, confirmed by a quorum after the question was asked
 */
public record FloorAnswer(long nonce, Floor floor) implements SpreadMessage {

	public FloorAnswer {
		Preconditions.notNull(floor, "floor");
	}

}
