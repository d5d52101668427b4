package org.comfreywall.daemon.sidecar;

/**
 * A call to the backend server that has not ended.
 */
interface BackendCall {

	/**
	 * Stops reading the answer until resumed.
	 */
	void pause();

	/**
	 * Resumes reading the answer.
	 */
	void resume();

	/**
	 * Aborts the call. The listener receives no event that starts after this returns.
	 */
	void cancel();

}
