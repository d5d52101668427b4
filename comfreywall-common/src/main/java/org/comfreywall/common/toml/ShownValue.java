package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Shows values in messages about them.
 */
final class ShownValue {

	private static final int SHOWN_ELEMENTS = 5;

	private ShownValue() {
	}

	static String of(JsonNode node) {
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
		for (int i = 0; i < Math.min(array.size(), SHOWN_ELEMENTS); i++) {
			JsonNode element = array.get(i);
			elements.add(element.isArray() ? "(a list)" : of(element));
		}
		if (array.size() > SHOWN_ELEMENTS) {
			elements.add("...");
		}
		return "[" + String.join(", ", elements) + "]";
	}

}
