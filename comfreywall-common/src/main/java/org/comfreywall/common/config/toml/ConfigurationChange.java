package org.comfreywall.common.config.toml;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * An element of the configuration that was added, removed or changed.
 *
 * @param kind the kind of change
 * @param section the element's section, such as {@code client-account}
 * @param name the element's name
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
