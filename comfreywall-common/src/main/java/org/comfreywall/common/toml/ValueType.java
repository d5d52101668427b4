package org.comfreywall.common.toml;

import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreywall.common.util.Preconditions;

/**
 * The type of a key's values.
 *
 * @param <T> the type that a value is converted to
 * @param name the type's name in the reference
 * @param unit the unit of a bare number, or empty
 * @param allowed the description of the allowed values
 * @param secret whether values must not appear in error messages
 * @param converter converts a value; returns empty if the value is invalid
 */
public record ValueType<T>(String name, String unit, String allowed, boolean secret,
		Function<JsonNode, Optional<T>> converter) {

	public ValueType {
		Preconditions.notBlank(name, "name");
		Preconditions.notNull(unit, "unit");
		Preconditions.notBlank(allowed, "allowed");
		Preconditions.notNull(converter, "converter");
	}

	/**
	 * Returns a copy with the given unit.
	 * @param newUnit the unit of a bare number
	 * @return the type with this unit
	 */
	public ValueType<T> withUnit(String newUnit) {
		return new ValueType<>(this.name, newUnit, this.allowed, this.secret, this.converter);
	}

	/**
	 * Returns a copy whose values do not appear in error messages.
	 * @return the type with secret values
	 */
	public ValueType<T> asSecret() {
		return new ValueType<>(this.name, this.unit, this.allowed, true, this.converter);
	}

	/**
	 * Returns a type that applies a further conversion to valid values.
	 * @param <R> the type of the converted value
	 * @param mapper the conversion; must accept every valid value
	 * @return the type of the converted values
	 */
	public <R> ValueType<R> map(Function<? super T, ? extends R> mapper) {
		return new ValueType<>(this.name, this.unit, this.allowed, this.secret,
				(node) -> this.converter.apply(node).map(mapper));
	}

}
