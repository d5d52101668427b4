package org.comfreywall.common.decision;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * One decision with its inputs.
 *
 * @param kind the kind of decision
 * @param subject what the decision is about, such as a request id or group id
 * @param result what was decided
 * @param inputs the inputs of the decision in reading order
 */
public record DecisionRecord(DecisionKind kind, String subject, String result, List<Field> inputs) {

	public DecisionRecord {
		Preconditions.notNull(kind, "kind");
		Preconditions.notBlank(subject, "subject");
		Preconditions.notBlank(result, "result");
		inputs = List.copyOf(inputs);
	}

	/**
	 * Creates a record.
	 * @param kind the kind of decision
	 * @param subject what the decision is about
	 * @param result what was decided
	 * @param inputs the inputs in reading order
	 * @return the record
	 */
	public static DecisionRecord of(DecisionKind kind, String subject, String result, Field... inputs) {
		return new DecisionRecord(kind, subject, result, List.of(inputs));
	}

}
