package org.comfreywall.common.util;

/**
 * Argument checks whose exceptions name the invalid argument.
 */
public final class Preconditions {

	private Preconditions() {
	}

	/**
	 * Checks that an argument is not {@code null}.
	 * @param <T> the argument's type
	 * @param value the argument
	 * @param name the argument's name
	 * @return the argument
	 * @throws IllegalArgumentException if the argument is {@code null}
	 */
	public static <T> T notNull(T value, String name) {
		if (value == null) {
			throw new IllegalArgumentException(name + " must not be null");
		}
		return value;
	}

	/**
	 * Checks that a string argument is neither {@code null} nor blank.
	 * @param value the argument
	 * @param name the argument's name
	 * @return the argument
	 * @throws IllegalArgumentException if the argument is {@code null} or blank
	 */
	public static String notBlank(String value, String name) {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException(name + " must not be blank");
		}
		return value;
	}

	/**
	 * Checks a condition on an argument.
	 * @param condition the condition that must hold
	 * @param format the message, in the syntax of {@link String#format}
	 * @param args the message's arguments
	 * @throws IllegalArgumentException if the condition does not hold
	 */
	public static void check(boolean condition, String format, Object... args) {
		if (!condition) {
			throw new IllegalArgumentException(String.format(format, args));
		}
	}

}
