package org.comfreywall.common.config.toml;

import java.util.List;

import org.comfreywall.common.toml.TomlField;

/**
 * One table of a configuration in canonical form.
 *
 * @param section the table's key, such as {@code service}
 * @param name the name of what it describes
 * @param fields all fields in canonical order
 */
public record ConfigurationTable(String section, String name, List<TomlField> fields) {

	public ConfigurationTable {
		fields = List.copyOf(fields);
	}

	/**
	 * Returns section and name together.
	 * @return the identifier, unique in a configuration
	 */
	public String id() {
		return this.section + " " + this.name;
	}

}
