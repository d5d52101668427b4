package org.comfreywall.cli.admin;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.decision.Field;

/**
 * A decision record returned by the admin API. The kind is text, so that kinds added by
 * newer daemons can be shown.
 *
 * @param kind the kind of decision
 * @param subject the subject, such as a request id
 * @param result the outcome of the decision
 * @param inputs the inputs of the decision in display order
 */
public record DecisionView(String kind, String subject, String result, List<Field> inputs) {

	public DecisionView {
		inputs = List.copyOf(inputs);
	}

	static List<DecisionView> listFrom(JsonObject body) {
		return JsonValues.requiredObjects(body, "records", DecisionView::from);
	}

	private static DecisionView from(JsonObject record) {
		List<Field> inputs = JsonValues.requiredObjects(record, "inputs",
				(input) -> new Field(JsonValues.requiredString(input, "key"),
						JsonValues.stringOrEmpty(input, "value")));
		return new DecisionView(JsonValues.requiredString(record, "kind"), JsonValues.stringOrEmpty(record, "subject"),
				JsonValues.requiredString(record, "result"), inputs);
	}

}
