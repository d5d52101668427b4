package org.comfreywall.common.poison;

/**
 * Ways in which an isolated run ends.
 */
public enum IsolationEnd {

	/** The run finished and the backend server survived. */
	SURVIVED,
	/** The backend server was lost during the run, or whether it survived is unknown. */
	LOST,
	/** The run never started and never will. */
	NOT_RUN

}
