package org.comfreywall.common.toml;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreywall.common.util.Preconditions;

/**
 * Describes one key of a table.
 *
 * @param <T> the type of the key's value
 * @param name the key
 * @param type the values it takes
 * @param required whether the key must be given
 * @param standard the value used when the key is not given
 * @param doc what the key means, one sentence
 */
public record KeyDescriptor<T>(String name, ValueType<T> type, boolean required, Optional<DefaultValue<T>> standard,
		String doc) {

	public KeyDescriptor {
		Preconditions.notBlank(name, "name");
		Preconditions.notNull(type, "type");
		Preconditions.notNull(standard, "standard");
		Preconditions.notBlank(doc, "doc");
	}

	/**
	 * Describes a key that must be given.
	 * @param <T> the type of the key's value
	 * @param name the key
	 * @param type the values it takes
	 * @param doc what the key means
	 * @return the descriptor
	 */
	public static <T> KeyDescriptor<T> required(String name, ValueType<T> type, String doc) {
		return new KeyDescriptor<>(name, type, true, Optional.empty(), doc);
	}

	/**
	 * Describes a key that need not be given and has no default.
	 * @param <T> the type of the key's value
	 * @param name the key
	 * @param type the values it takes
	 * @param doc what the key means
	 * @return the descriptor
	 */
	public static <T> KeyDescriptor<T> optional(String name, ValueType<T> type, String doc) {
		return new KeyDescriptor<>(name, type, false, Optional.empty(), doc);
	}

	/**
	 * Describes a key with a default.
	 * @param <T> the type of the key's value
	 * @param name the key
	 * @param type the values it takes
	 * @param literal the default as a TOML literal, which the type must allow
	 * @param doc what the key means
	 * @return the descriptor
	 */
	public static <T> KeyDescriptor<T> withDefault(String name, ValueType<T> type, String literal, String doc) {
		Optional<T> value = type.converter().apply(TomlParser.literal(literal));
		Preconditions.check(value.isPresent(), "default of %s is not allowed: %s", name, literal);
		return new KeyDescriptor<>(name, type, false, Optional.of(new DefaultValue<>(literal, value.orElseThrow())),
				doc);
	}

	/**
	 * Returns the default as documents write it.
	 * @return the TOML literal, or empty if there is no default
	 */
	public Optional<String> defaultLiteral() {
		return this.standard.map(DefaultValue::literal);
	}

	Optional<T> defaultValue() {
		return this.standard.map(DefaultValue::value);
	}

	Optional<T> convert(JsonNode node) {
		return this.type.converter().apply(node);
	}

	String shown(JsonNode node) {
		return this.type.secret() ? "(hidden)" : ShownValue.of(node);
	}

}
