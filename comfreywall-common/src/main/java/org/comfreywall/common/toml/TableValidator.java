package org.comfreywall.common.toml;

import java.util.Iterator;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Checks a parsed document against its descriptor.
 */
final class TableValidator {

	private final Problems problems;

	TableValidator(Problems problems) {
		this.problems = problems;
	}

	void validate(ObjectNode node, TableDescriptor descriptor, String path) {
		refuseUnknownKeys(node, descriptor, path);
		descriptor.keys().forEach((key) -> validateKey(node.get(key.name()), key, path + key.name()));
		descriptor.tables().forEach((table) -> validateTable(node.get(table.name()), table, path + table.name()));
	}

	private void refuseUnknownKeys(ObjectNode node, TableDescriptor descriptor, String path) {
		List<String> known = descriptor.names();
		for (Iterator<String> names = node.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!known.contains(name)) {
				this.problems.add(path + name, "(unknown key)", suggestion(name, known));
			}
		}
	}

	private static String suggestion(String name, List<String> known) {
		return NearestName.find(name, known)
			.map((near) -> "did you mean \"" + near + "\"?")
			.orElseGet(() -> String.join(", ", known));
	}

	private void validateKey(JsonNode value, KeyDescriptor<?> key, String fullName) {
		if (value == null) {
			if (key.required()) {
				this.problems.add(fullName, "(missing)", key.type().allowed());
			}
		}
		else if (key.convert(value).isEmpty()) {
			this.problems.add(fullName, key.shown(value), key.type().allowed());
		}
	}

	private void validateTable(JsonNode value, TableDescriptor table, String fullName) {
		if (value == null) {
			return;
		}
		if (table.repeated()) {
			validateTables(value, table, fullName);
		}
		else if (value instanceof ObjectNode object) {
			validate(object, table, fullName + ".");
		}
		else {
			this.problems.add(fullName, ShownValue.of(value), "a table written as [" + fullName + "]");
		}
	}

	private void validateTables(JsonNode value, TableDescriptor table, String fullName) {
		if (!value.isArray()) {
			this.problems.add(fullName, ShownValue.of(value), "tables written as [[" + fullName + "]]");
			return;
		}
		for (int i = 0; i < value.size(); i++) {
			String element = fullName + "[" + i + "]";
			if (value.get(i) instanceof ObjectNode object) {
				validate(object, table, element + ".");
			}
			else {
				this.problems.add(element, ShownValue.of(value.get(i)), "a table written as [[" + fullName + "]]");
			}
		}
	}

}
