package org.comfreywall.cli.command;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.config.toml.ChangeKind;
import org.comfreywall.common.config.toml.ConfigurationChange;
import org.comfreywall.common.config.toml.FieldChange;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Formats differences between two configurations.
 */
public final class DiffFormatter {

	private DiffFormatter() {
	}

	/**
	 * Formats differences as text.
	 * @param changes the differences
	 * @return a line for each added, removed or changed element and each changed field
	 */
	public static List<String> lines(List<ConfigurationChange> changes) {
		List<String> lines = new ArrayList<>();
		changes.forEach((change) -> append(lines, change));
		return lines;
	}

	/**
	 * Formats differences as JSON.
	 * @param changes the differences
	 * @return an object for each added, removed or changed element
	 */
	public static JsonArray json(List<ConfigurationChange> changes) {
		return new JsonArray(changes.stream().map(DiffFormatter::json).toList());
	}

	private static void append(List<String> lines, ConfigurationChange change) {
		lines.add(mark(change.kind()) + " " + change.section() + " " + change.name());
		if (change.kind() != ChangeKind.REMOVED) {
			change.fields().forEach((field) -> lines.add("    " + field.key() + ": " + values(field)));
		}
	}

	private static String values(FieldChange field) {
		return field.before().isEmpty() ? field.after() : field.before() + " -> " + field.after();
	}

	private static String mark(ChangeKind kind) {
		return switch (kind) {
			case ADDED -> "+";
			case REMOVED -> "-";
			case CHANGED -> "~";
		};
	}

	private static JsonObject json(ConfigurationChange change) {
		return new JsonObject().put("kind", ValueTypes.lowerCase(change.kind()))
			.put("section", change.section())
			.put("name", change.name())
			.put("fields", new JsonArray(change.fields().stream().map(DiffFormatter::json).toList()));
	}

	private static JsonObject json(FieldChange field) {
		return new JsonObject().put("key", field.key()).put("before", field.before()).put("after", field.after());
	}

}
