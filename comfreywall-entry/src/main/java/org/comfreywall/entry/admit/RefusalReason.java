package org.comfreywall.entry.admit;

/**
 * Why a request was refused or shed.
 */
public enum RefusalReason {

	/** The expected wait exceeds the bound of its class. */
	WAIT_TOO_LONG,
	/** The caller's deadline would pass before the answer. */
	DEADLINE,
	/** The queue is full and holds no request that should give way. */
	QUEUE_FULL,
	/**
	 * It gave way to a request of a higher class or of a client account with less queued.
	 */
	DISPLACED,
	/** It waited in the queue for as long as its class allows. */
	WAITED_IN_VAIN

}
