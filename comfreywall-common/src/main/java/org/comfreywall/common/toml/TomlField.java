package org.comfreywall.common.toml;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A key of a table with its value as a TOML literal.
 *
 * @param key the bare key
 * @param literal the value as a TOML literal
 */
public record TomlField(String key, String literal) {

	public TomlField {
		Preconditions.notBlank(key, "key");
		Preconditions.notBlank(literal, "literal");
	}

	/**
	 * Creates a field with a string value.
	 * @param key the bare key
	 * @param text the string
	 * @return the field
	 */
	public static TomlField of(String key, String text) {
		return new TomlField(key, quote(text));
	}

	/**
	 * Creates a field with an integer value.
	 * @param key the bare key
	 * @param value the integer
	 * @return the field
	 */
	public static TomlField of(String key, long value) {
		return new TomlField(key, Long.toString(value));
	}

	/**
	 * Creates a field with a floating-point value.
	 * @param key the bare key
	 * @param value the number, finite
	 * @return the field
	 */
	public static TomlField of(String key, double value) {
		Preconditions.check(Double.isFinite(value), "value must be finite: %s", value);
		return new TomlField(key, Double.toString(value));
	}

	/**
	 * Creates a field with a boolean value.
	 * @param key the bare key
	 * @param value the boolean
	 * @return the field
	 */
	public static TomlField of(String key, boolean value) {
		return new TomlField(key, Boolean.toString(value));
	}

	/**
	 * Creates a field with an array of strings.
	 * @param key the bare key
	 * @param texts the strings in output order
	 * @return the field
	 */
	public static TomlField of(String key, List<String> texts) {
		return new TomlField(key, "[" + String.join(", ", texts.stream().map(TomlField::quote).toList()) + "]");
	}

	private static String quote(String text) {
		StringBuilder quoted = new StringBuilder("\"");
		text.chars().forEach((c) -> append(quoted, (char) c));
		return quoted.append('"').toString();
	}

	private static void append(StringBuilder quoted, char c) {
		if (c == '"' || c == '\\') {
			quoted.append('\\').append(c);
		}
		else if (Character.isISOControl(c)) {
			quoted.append(String.format("\\u%04X", (int) c));
		}
		else {
			quoted.append(c);
		}
	}

}
