package org.comfreywall.group.moves;

/**
 * The state of a move.
 */
enum MoveState {

	/** The read has not started; it waits for the weight store's rate limit. */
	PENDING,
	/** The rank is reading the weights. */
	READING,
	/** The rank has staged the weights. */
	STAGED

}
