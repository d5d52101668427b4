package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats TOML values for error messages, with long lists truncated.
 */
final class ValueFormatter {

	private static final int MAX_SHOWN_ELEMENTS = 5;

	private ValueFormatter() {
	}

	static String format(JsonNode node) {
		if (node.isTextual()) {
			return "\"" + node.textValue() + "\"";
		}
		if (node.isObject()) {
			return "(a table)";
		}
		return node.isArray() ? list(node) : node.asText();
	}

	private static String list(JsonNode array) {
		List<String> elements = new ArrayList<>();
		for (int i = 0; i < Math.min(array.size(), MAX_SHOWN_ELEMENTS); i++) {
			JsonNode element = array.get(i);
			elements.add(element.isArray() ? "(a list)" : format(element));
		}
		if (array.size() > MAX_SHOWN_ELEMENTS) {
			elements.add("...");
		}
		return "[" + String.join(", ", elements) + "]";
	}

}
