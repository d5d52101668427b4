package org.comfreywall.common.toml;

import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreywall.common.util.Preconditions;

/**
 * Describes the values that a key takes.
 *
 * @param <T> the type that a value is converted to
 * @param name the type's name in the reference
 * @param unit the unit of a bare number, or empty
 * @param allowed the values allowed, in words
 * @param secret whether a wrong value must not be shown
 * @param converter converts a value; empty if it is not allowed
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
	 * Gives the type's numbers a unit.
	 * @param newUnit the unit
	 * @return the type with that unit
	 */
	public ValueType<T> in(String newUnit) {
		return new ValueType<>(this.name, newUnit, this.allowed, this.secret, this.converter);
	}

	/**
	 * Hides wrong values from messages.
	 * @return the type with hidden values
	 */
	public ValueType<T> hidden() {
		return new ValueType<>(this.name, this.unit, this.allowed, true, this.converter);
	}

	/**
	 * Converts allowed values further.
	 * @param <R> the type of the converted value
	 * @param mapper the conversion, which must accept every allowed value
	 * @return the type of the converted values
	 */
	public <R> ValueType<R> map(Function<? super T, ? extends R> mapper) {
		return new ValueType<>(this.name, this.unit, this.allowed, this.secret,
				(node) -> this.converter.apply(node).map(mapper));
	}

}
