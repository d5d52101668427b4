package org.comfreywall.common.toml;

import org.comfreywall.common.util.Preconditions;

/**
 * The value of a key that is not given.
 *
 * @param <T> the type of the value
 * @param literal the value as a TOML literal
 * @param value the value
 */
public record DefaultValue<T>(String literal, T value) {

	public DefaultValue {
		Preconditions.notBlank(literal, "literal");
		Preconditions.notNull(value, "value");
	}

}
