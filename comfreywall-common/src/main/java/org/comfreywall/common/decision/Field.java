package org.comfreywall.common.decision;

import org.comfreywall.common.util.Preconditions;

/**
 * A key-value pair of a decision record or log event.
 *
 * @param key the key, in lower case with dashes
 * @param value the value as text
 */
public record Field(String key, String value) {

	public Field {
		Preconditions.notBlank(key, "key");
		Preconditions.notNull(value, "value");
	}

	/**
	 * Creates a field from any value.
	 * @param key the key
	 * @param value the value, converted with {@link String#valueOf(Object)}
	 * @return the field
	 */
	public static Field of(String key, Object value) {
		return new Field(key, String.valueOf(value));
	}

}
