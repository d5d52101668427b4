package org.comfreywall.common.config.toml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.toml.TomlField;
import org.comfreywall.common.util.Preconditions;

/**
 * Compares two configurations.
 */
public final class ConfigurationDiff {

	private ConfigurationDiff() {
	}

	/**
	 * Lists the changes between two configurations. The order of elements and whether a
	 * default is written out make no difference.
	 * @param before the old configuration
	 * @param after the new configuration
	 * @return the removed and changed elements, then the added ones, each in canonical
	 * order
	 */
	public static List<ConfigurationChange> between(Configuration before, Configuration after) {
		Preconditions.notNull(before, "before");
		Preconditions.notNull(after, "after");
		Map<String, ConfigurationTable> added = new LinkedHashMap<>();
		ConfigurationTables.of(after).forEach((table) -> added.put(table.id(), table));
		List<ConfigurationChange> changes = new ArrayList<>();
		for (ConfigurationTable old : ConfigurationTables.of(before)) {
			ConfigurationTable current = added.remove(old.id());
			if (current == null) {
				changes.add(change(ChangeKind.REMOVED, old, fields(old.fields(), List.of())));
			}
			else if (!current.equals(old)) {
				changes.add(change(ChangeKind.CHANGED, old, fields(old.fields(), current.fields())));
			}
		}
		added.values()
			.forEach((table) -> changes.add(change(ChangeKind.ADDED, table, fields(List.of(), table.fields()))));
		return changes;
	}

	private static ConfigurationChange change(ChangeKind kind, ConfigurationTable table, List<FieldChange> fields) {
		return new ConfigurationChange(kind, table.section(), table.name(), fields);
	}

	private static List<FieldChange> fields(List<TomlField> before, List<TomlField> after) {
		Map<String, String> old = literals(before);
		Map<String, String> current = literals(after);
		Map<String, String> all = new LinkedHashMap<>(old);
		all.putAll(current);
		return all.keySet()
			.stream()
			.map((key) -> new FieldChange(key, old.getOrDefault(key, ""), current.getOrDefault(key, "")))
			.filter((field) -> !field.before().equals(field.after()))
			.toList();
	}

	private static Map<String, String> literals(List<TomlField> fields) {
		Map<String, String> literals = new LinkedHashMap<>();
		fields.forEach((field) -> literals.put(field.key(), field.literal()));
		return literals;
	}

}
