package org.comfreywall.cli.command;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Formats JSON objects as indented text.
 */
final class JsonTreeFormatter {

	private static final String INDENT = "  ";

	private final List<String> lines = new ArrayList<>();

	private JsonTreeFormatter() {
	}

	static List<String> lines(JsonObject object) {
		JsonTreeFormatter tree = new JsonTreeFormatter();
		object.forEach((member) -> tree.append(member.getKey(), member.getValue(), ""));
		return tree.lines;
	}

	private void append(String label, Object value, String indent) {
		if (value instanceof JsonObject object) {
			this.lines.add(indent + label + ":");
			object.forEach((member) -> append(member.getKey(), member.getValue(), indent + INDENT));
		}
		else if (value instanceof JsonArray array) {
			appendArray(label, array, indent);
		}
		else {
			this.lines.add(indent + label + ": " + value);
		}
	}

	private void appendArray(String label, JsonArray array, String indent) {
		boolean nested = array.stream()
			.anyMatch((element) -> element instanceof JsonObject || element instanceof JsonArray);
		if (!nested) {
			this.lines.add(indent + label + ": " + String.join(", ", array.stream().map(String::valueOf).toList()));
			return;
		}
		this.lines.add(indent + label + ":");
		for (int i = 0; i < array.size(); i++) {
			append("- " + i, array.getValue(i), indent + INDENT);
		}
	}

}
