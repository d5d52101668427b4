package org.comfreywall.common.toml;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreywall.common.util.Preconditions;

/**
 * Definition of one key of a table.
 *
 * @param <T> the type of the key's value
 * @param name the key
 * @param type the type of its values
 * @param required whether the key must be present
 * @param defaultValue the default value, used if the key is absent
 * @param doc the description of the key, one sentence
 */
public record KeyDescriptor<T>(String name, ValueType<T> type, boolean required, Optional<DefaultValue<T>> defaultValue,
		String doc) {

	public KeyDescriptor {
		Preconditions.notBlank(name, "name");
		Preconditions.notNull(type, "type");
		Preconditions.notNull(defaultValue, "defaultValue");
		Preconditions.notBlank(doc, "doc");
	}

	/**
	 * Defines a required key.
	 * @param <T> the type of the key's value
	 * @param name the key
	 * @param type the type of its values
	 * @param doc the description of the key
	 * @return the descriptor
	 */
	public static <T> KeyDescriptor<T> required(String name, ValueType<T> type, String doc) {
		return new KeyDescriptor<>(name, type, true, Optional.empty(), doc);
	}

	/**
	 * Defines an optional key without a default.
	 * @param <T> the type of the key's value
	 * @param name the key
	 * @param type the type of its values
	 * @param doc the description of the key
	 * @return the descriptor
	 */
	public static <T> KeyDescriptor<T> optional(String name, ValueType<T> type, String doc) {
		return new KeyDescriptor<>(name, type, false, Optional.empty(), doc);
	}

	/**
	 * Defines an optional key with a default.
	 * @param <T> the type of the key's value
	 * @param name the key
	 * @param type the type of its values
	 * @param literal the default as a TOML literal; must be a valid value of the type
	 * @param doc the description of the key
	 * @return the descriptor
	 */
	public static <T> KeyDescriptor<T> withDefault(String name, ValueType<T> type, String literal, String doc) {
		Optional<T> value = type.converter().apply(TomlParser.literal(literal));
		Preconditions.check(value.isPresent(), "default of %s is not allowed: %s", name, literal);
		return new KeyDescriptor<>(name, type, false, Optional.of(new DefaultValue<>(literal, value.orElseThrow())),
				doc);
	}

	/**
	 * Returns the default as a TOML literal.
	 * @return the TOML literal, or empty if there is no default
	 */
	public Optional<String> defaultLiteral() {
		return this.defaultValue.map(DefaultValue::literal);
	}

	Optional<T> convertedDefault() {
		return this.defaultValue.map(DefaultValue::value);
	}

	Optional<T> convert(JsonNode node) {
		return this.type.converter().apply(node);
	}

	String displayText(JsonNode node) {
		return this.type.secret() ? "(hidden)" : ValueFormatter.format(node);
	}

}
