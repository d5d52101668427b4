package org.comfreywall.gateway.pool;

/**
 * State that a backend server announces. Within an incarnation it only changes to a later
 * constant.
 */
public enum ServerState {

	/** Accepts requests. */
	READY,
	/** Completes its requests in flight and accepts no new ones. */
	LEAVING,
	/** Has stopped. */
	GONE

}
