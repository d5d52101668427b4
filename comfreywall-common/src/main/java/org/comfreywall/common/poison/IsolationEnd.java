package org.comfreywall.common.poison;

/**
 * The possible ends of an isolated run.
 */
public enum IsolationEnd {

	/** The run finished and the backend server survived. */
	SURVIVED,
	/**
	 * The backend server was lost during the run, or it is unknown whether it survived.
	 */
	LOST,
	/** The run did not start and will not start later. */
	NOT_RUN

}
