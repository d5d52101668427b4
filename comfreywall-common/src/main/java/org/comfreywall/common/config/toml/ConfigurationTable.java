package org.comfreywall.common.config.toml;

import java.util.List;

import org.comfreywall.common.toml.TomlField;

/**
 * One element of a configuration as a TOML table in canonical form.
 *
 * @param section the table's key, such as {@code service}
 * @param name the name of the configured element
 * @param fields all fields in canonical order
 */
public record ConfigurationTable(String section, String name, List<TomlField> fields) {

	public ConfigurationTable {
		fields = List.copyOf(fields);
	}

	/**
	 * Returns the section and name as one identifier.
	 * @return the identifier, unique in a configuration
	 */
	public String id() {
		return this.section + " " + this.name;
	}

}
