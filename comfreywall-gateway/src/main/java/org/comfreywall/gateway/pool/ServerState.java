package org.comfreywall.gateway.pool;

/**
 * State that a backend server announces; it only ever moves forward within an
 * incarnation.
 */
public enum ServerState {

	/** Accepts requests. */
	READY,
	/** Completes its requests in flight and accepts no new ones. */
	LEAVING,
	/** Has stopped. */
	GONE

}
