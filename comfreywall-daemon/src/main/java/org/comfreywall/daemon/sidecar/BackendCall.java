package org.comfreywall.daemon.sidecar;

/**
 * One running call to the backend server.
 */
interface BackendCall {

	/**
	 * Stops reading the answer until resumed.
	 */
	void pause();

	/**
	 * Goes on reading the answer.
	 */
	void resume();

	/**
	 * Breaks off the call; the listener hears nothing more.
	 */
	void cancel();

}
