package org.comfreywall.cli.admin;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.decision.Field;

/**
 * A decision as the admin API tells it; kinds that this version does not know are kept.
 *
 * @param kind the kind of decision
 * @param subject what it is about
 * @param result what was decided
 * @param inputs the inputs in reading order
 */
public record DecisionView(String kind, String subject, String result, List<Field> inputs) {

	public DecisionView {
		inputs = List.copyOf(inputs);
	}

	static List<DecisionView> listFrom(JsonObject body) {
		return JsonValues.objects(body, "records", DecisionView::from);
	}

	private static DecisionView from(JsonObject record) {
		List<Field> inputs = JsonValues.objects(record, "inputs",
				(input) -> new Field(JsonValues.text(input, "key"), JsonValues.textOrEmpty(input, "value")));
		return new DecisionView(JsonValues.text(record, "kind"), JsonValues.textOrEmpty(record, "subject"),
				JsonValues.text(record, "result"), inputs);
	}

}
