package org.comfreywall.common.toml;

import org.comfreywall.common.util.Preconditions;

/**
 * The default value of a key.
 *
 * @param <T> the type of the value
 * @param literal the default as a TOML literal
 * @param value the default, converted
 */
public record DefaultValue<T>(String literal, T value) {

	public DefaultValue {
		Preconditions.notBlank(literal, "literal");
		Preconditions.notNull(value, "value");
	}

}
