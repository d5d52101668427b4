package org.comfreywall.entry.request;

/**
 * Ways in which a run ends that a guard allowed.
 */
public enum FlightEnd {

	/** The run finished with a whole answer. */
	SURVIVED,
	/** The backend server was lost, and the loss is recorded. */
	LOST,
	/** The run did not start, or how it ended is unknown. */
	UNDECIDED

}
