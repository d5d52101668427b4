package org.comfreywall.cli.init;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.config.toml.ConfigurationTable;
import org.comfreywall.common.config.toml.ConfigurationTables;
import org.comfreywall.common.toml.TomlField;

/**
 * Lookup of earlier answers by section, element name and key.
 */
final class AnswerTables {

	private final List<ConfigurationTable> tables = new ArrayList<>();

	AnswerTables(Answers answers) {
		this.tables.addAll(ConfigurationTables.of(answers.configuration()));
		answers.instances()
			.forEach((instance) -> this.tables.add(new ConfigurationTable(AnswersKeys.INSTANCE_SECTION, instance.name(),
					InstanceTables.fields(instance))));
	}

	List<String> names(String section) {
		return this.tables.stream()
			.filter((table) -> table.section().equals(section))
			.map(ConfigurationTable::name)
			.toList();
	}

	boolean contains(String section, String name) {
		return names(section).contains(name);
	}

	Optional<String> literal(String section, String name, String key) {
		return this.tables.stream()
			.filter((table) -> table.section().equals(section) && table.name().equals(name))
			.flatMap((table) -> table.fields().stream())
			.filter((field) -> field.key().equals(key))
			.map(TomlField::literal)
			.findFirst();
	}

}
