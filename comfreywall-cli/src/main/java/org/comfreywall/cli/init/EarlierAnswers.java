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
final class EarlierAnswers {

	private final List<ConfigurationTable> tables = new ArrayList<>();

	EarlierAnswers(Answers answers) {
		this.tables.addAll(ConfigurationTables.of(answers.configuration()));
		answers.instances()
			.forEach((instance) -> this.tables.add(new ConfigurationTable(AnswersKeys.INSTANCE_SECTION, instance.name(),
					InstanceFields.of(instance))));
	}

	List<String> elementNames(String section) {
		return this.tables.stream()
			.filter((table) -> table.section().equals(section))
			.map(ConfigurationTable::name)
			.toList();
	}

	boolean contains(String section, String name) {
		return elementNames(section).contains(name);
	}

	Optional<String> findLiteral(String section, String name, String key) {
		return this.tables.stream()
			.filter((table) -> table.section().equals(section) && table.name().equals(name))
			.flatMap((table) -> table.fields().stream())
			.filter((field) -> field.key().equals(key))
			.map(TomlField::literal)
			.findFirst();
	}

}
