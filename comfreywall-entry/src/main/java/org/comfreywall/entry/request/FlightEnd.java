package org.comfreywall.entry.request;

/**
 * Outcomes of a run that a guard permitted.
 */
public enum FlightEnd {

	/** The run completed with a whole answer. */
	SURVIVED,
	/**
	 * The backend server crashed or its sidecar was lost, and the crash report is
	 * committed.
	 */
	LOST,
	/** The run did not start, or its result is unknown. */
	UNDECIDED

}
