package org.comfreywall.common.config.toml;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.toml.TomlWriter;
import org.comfreywall.common.util.Preconditions;

/**
 * Writes a configuration as TOML in canonical order, so that configurations that differ
 * only in the order of their elements yield the same text.
 */
public final class ConfigurationWriter {

	private ConfigurationWriter() {
	}

	/**
	 * Writes a configuration in canonical order.
	 * @param configuration the configuration
	 * @return the configuration in TOML
	 */
	public static String write(Configuration configuration) {
		Preconditions.notNull(configuration, "configuration");
		TomlWriter writer = new TomlWriter();
		ConfigurationTables.of(configuration)
			.forEach((table) -> writer.tableArrayElement(table.section(), table.fields()));
		return writer.toString();
	}

}
