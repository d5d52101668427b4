package org.comfreywall.cli.init;

import org.comfreywall.common.config.toml.ConfigurationTables;
import org.comfreywall.common.toml.TomlWriter;

/**
 * Writes answers as TOML in canonical order, so that a later run of
 * {@code comfreywall init} can offer them as defaults.
 */
final class AnswersWriter {

	private AnswersWriter() {
	}

	static String write(Answers answers) {
		TomlWriter writer = new TomlWriter().comment("Answers to the questionnaire of comfreywall init.")
			.comment("Change them here, or answer again, and run comfreywall init.");
		ConfigurationTables.of(answers.configuration())
			.forEach((table) -> writer.tableArrayElement(table.section(), table.fields()));
		answers.instances()
			.forEach((instance) -> writer.tableArrayElement(AnswersKeys.INSTANCE.name(), InstanceFields.of(instance)));
		return writer.toString();
	}

}
