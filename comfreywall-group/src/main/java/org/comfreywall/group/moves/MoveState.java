package org.comfreywall.group.moves;

/**
 * How far a move is.
 */
enum MoveState {

	/** The read waits for bytes of the bucket. */
	PENDING,
	/** The rank reads. */
	READING,
	/** The rank holds the weights. */
	STAGED

}
