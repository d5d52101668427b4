package org.comfreywall.common.config.toml;

import org.comfreywall.common.util.Preconditions;

/**
 * A key whose value differs between two configurations.
 *
 * @param key the key
 * @param before the old value as a TOML literal; empty if there is none
 * @param after the new value as a TOML literal; empty if there is none
 */
public record FieldChange(String key, String before, String after) {

	public FieldChange {
		Preconditions.notBlank(key, "key");
		Preconditions.notNull(before, "before");
		Preconditions.notNull(after, "after");
	}

}
