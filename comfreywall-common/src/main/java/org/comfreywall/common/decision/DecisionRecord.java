package org.comfreywall.common.decision;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A decision with the inputs that led to it.
 *
 * @param kind the kind of decision
 * @param subject the subject of the decision, such as a request id or group id
 * @param result the result of the decision
 * @param inputs the inputs in display order
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
	 * @param subject the subject of the decision
	 * @param result the result of the decision
	 * @param inputs the inputs in display order
	 * @return the record
	 */
	public static DecisionRecord of(DecisionKind kind, String subject, String result, Field... inputs) {
		return new DecisionRecord(kind, subject, result, List.of(inputs));
	}

}
