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
	 * Aborts the call. Events that arrive after this returns are not passed to the
	 * listener; one that is being handled on another thread meanwhile may still be.
	 */
	void cancel();

}
