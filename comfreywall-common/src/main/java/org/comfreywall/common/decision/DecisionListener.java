package org.comfreywall.common.decision;

/**
 * Receives decision records.
 */
@FunctionalInterface
public interface DecisionListener {

	/** Ignores all records. */
	DecisionListener NONE = (record) -> {
	};

	/**
	 * Invoked once per decision, on the thread that made it.
	 * @param record the decision
	 */
	void onDecision(DecisionRecord record);

}
