package org.comfreywall.cli.check;

import java.util.Set;

import org.comfreywall.cli.init.AnswersKeys;
import org.comfreywall.common.config.toml.ConfigurationKeys;
import org.comfreywall.common.settings.SettingsKeys;
import org.comfreywall.common.toml.TomlTable;

/**
 * Kinds of documents that {@code check} validates.
 */
enum DocumentKind {

	/** Settings of an instance. */
	SETTINGS,
	/** The configuration of the fleet. */
	CONFIGURATION,
	/** Answers to the questions of {@code comfreywall init}. */
	ANSWERS;

	/**
	 * Detects the kind by the top-level keys and tables. An {@code instance} table occurs
	 * only in answers; otherwise the kind with more matching names wins.
	 * @param text the document in TOML
	 * @return the kind; a configuration if neither kind has more matches
	 */
	static DocumentKind detect(String text) {
		Set<String> names = TomlTable.topLevelNames(text);
		if (names.contains(AnswersKeys.INSTANCE_SECTION)) {
			return ANSWERS;
		}
		long settings = names.stream().filter(SettingsKeys.DOCUMENT.childNames()::contains).count();
		long configuration = names.stream().filter(ConfigurationKeys.DOCUMENT.childNames()::contains).count();
		return (settings > configuration) ? SETTINGS : CONFIGURATION;
	}

}
