package org.comfreywall.common.config.toml;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A part of the configuration that was added, removed or changed.
 *
 * @param kind what happened to it
 * @param section the kind of part, such as {@code client-account}
 * @param name the part's name
 * @param fields the values that differ, in canonical order
 */
public record ConfigurationChange(ChangeKind kind, String section, String name, List<FieldChange> fields) {

	public ConfigurationChange {
		Preconditions.notNull(kind, "kind");
		Preconditions.notBlank(section, "section");
		Preconditions.notBlank(name, "name");
		fields = List.copyOf(fields);
	}

}
