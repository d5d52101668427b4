package org.comfreywall.entry.admit;

/**
 * Why a request was refused or shed.
 */
public enum RefusalReason {

	/** The expected wait exceeds the maximum time in queue of its class. */
	WAIT_TOO_LONG,
	/** The caller's deadline would expire before the answer. */
	DEADLINE,
	/** The queue is full and contains no request that the new one may displace. */
	QUEUE_FULL,
	/**
	 * It was displaced by a request of a higher class, or of a client account with fewer
	 * queued requests.
	 */
	DISPLACED,
	/**
	 * Its time in queue expired: the maximum of its class, or the latest start for its
	 * deadline.
	 */
	WAITED_IN_VAIN

}
