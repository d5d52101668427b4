package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Converts values typed by an operator into TOML literals.
 */
public final class LiteralConverter {

	private static final String EMPTY_LIST_INPUT = "none";

	private LiteralConverter() {
	}

	/**
	 * Converts input into a literal that is valid for a key. Accepts a string without
	 * quotes, a list separated by commas, {@code none} for an empty list, {@code yes},
	 * {@code no}, or any TOML literal.
	 * @param key the key
	 * @param input the input
	 * @return the literal, or empty if the input is no valid value of the key
	 */
	public static Optional<String> toLiteral(KeyDescriptor<?> key, String input) {
		String text = input.strip();
		Stream<String> literals = Stream.of(TomlField.of(key.name(), text).literal(), booleanLiteral(text), text,
				listLiteral(text));
		return literals.filter((literal) -> isValid(key, literal)).findFirst();
	}

	/**
	 * Parses a TOML array of strings.
	 * @param array the array as a TOML literal
	 * @return the strings
	 */
	public static List<String> parseStrings(String array) {
		List<String> texts = new ArrayList<>();
		TomlParser.literal(array).forEach((element) -> texts.add(element.asText()));
		return texts;
	}

	private static boolean isValid(KeyDescriptor<?> key, String literal) {
		try {
			return key.convert(TomlParser.literal(literal)).isPresent();
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private static String booleanLiteral(String text) {
		return switch (text) {
			case "yes", "y" -> "true";
			case "no", "n" -> "false";
			default -> text;
		};
	}

	private static String listLiteral(String text) {
		List<String> elements = text.equals(EMPTY_LIST_INPUT) ? List.of()
				: Arrays.stream(text.split(",")).map(String::strip).filter((element) -> !element.isEmpty()).toList();
		return TomlField.of("list", elements).literal();
	}

}
