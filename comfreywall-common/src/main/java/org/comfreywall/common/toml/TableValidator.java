package org.comfreywall.common.toml;

import java.util.Iterator;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Validates a parsed document against its descriptor.
 */
final class TableValidator {

	private final Problems problems;

	TableValidator(Problems problems) {
		this.problems = problems;
	}

	TomlTable validate(ObjectNode node, TableDescriptor descriptor, String path) {
		reportUnknownKeys(node, descriptor, path);
		TomlTable table = new TomlTable(path);
		descriptor.keys().forEach((key) -> readKey(table, node.get(key.name()), key));
		descriptor.tables().forEach((inner) -> readTables(table, node.get(inner.name()), inner, path + inner.name()));
		return table;
	}

	private void reportUnknownKeys(ObjectNode node, TableDescriptor descriptor, String path) {
		List<String> known = descriptor.childNames();
		for (Iterator<String> names = node.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!known.contains(name)) {
				this.problems.add(path + name, "(unknown key)", suggestion(name, known));
			}
		}
	}

	private static String suggestion(String name, List<String> known) {
		return NearestName.find(name, known)
			.map((nearest) -> "did you mean \"" + nearest + "\"?")
			.orElseGet(() -> String.join(", ", known));
	}

	private <T> void readKey(TomlTable table, JsonNode value, KeyDescriptor<T> key) {
		if (value == null) {
			if (key.required()) {
				this.problems.add(table.fullName(key), "(missing)", key.type().allowed());
			}
			return;
		}
		key.convert(value)
			.ifPresentOrElse((converted) -> table.put(key, converted),
					() -> this.problems.add(table.fullName(key), key.displayText(value), key.type().allowed()));
	}

	private void readTables(TomlTable table, JsonNode value, TableDescriptor inner, String fullName) {
		if (value == null) {
			return;
		}
		if (inner.repeated()) {
			readTableArray(table, value, inner, fullName);
		}
		else if (value instanceof ObjectNode object) {
			table.add(inner, validate(object, inner, fullName + "."));
		}
		else {
			this.problems.add(fullName, ValueFormatter.format(value), "a table written as [" + fullName + "]");
		}
	}

	private void readTableArray(TomlTable table, JsonNode value, TableDescriptor inner, String fullName) {
		if (!value.isArray()) {
			this.problems.add(fullName, ValueFormatter.format(value), "tables written as [[" + fullName + "]]");
			return;
		}
		for (int i = 0; i < value.size(); i++) {
			String element = fullName + "[" + i + "]";
			if (value.get(i) instanceof ObjectNode object) {
				table.add(inner, validate(object, inner, element + "."));
			}
			else {
				this.problems.add(element, ValueFormatter.format(value.get(i)),
						"a table written as [[" + fullName + "]]");
			}
		}
	}

}
