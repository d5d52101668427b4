package org.comfreywall.gateway.pool;

/**
 * Whether an entry may send a request to a cold server now, with the reason.
 */
public enum WarmUpDecision {

	/** The entry may send one request. */
	ALLOWED,
	/** The entry has sent or granted its last request too short a time ago. */
	RATE_REACHED,
	/** Other entries send to this server while it is cold. */
	NOT_SELECTED,
	/** The other entries are not known yet, so the share of this entry is unknown. */
	ENTRIES_UNKNOWN

}
