package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Turns what a person types into TOML literals.
 */
public final class LiteralInput {

	private static final String NOTHING = "none";

	private LiteralInput() {
	}

	/**
	 * Finds the literal that a key allows and that the input stands for: a text without
	 * quotes, a list with commas only, {@code yes}, {@code no}, or any TOML literal.
	 * @param key the key
	 * @param input the input
	 * @return the literal, or empty if the key does not allow the input
	 */
	public static Optional<String> literal(KeyDescriptor<?> key, String input) {
		String text = input.strip();
		Stream<String> candidates = Stream.of(TomlField.of(key.name(), text).literal(), truth(text), text, list(text));
		return candidates.filter((literal) -> isAllowed(key, literal)).findFirst();
	}

	/**
	 * Lists the texts in a literal.
	 * @param literal a TOML list of texts
	 * @return the texts
	 */
	public static List<String> texts(String literal) {
		List<String> texts = new ArrayList<>();
		TomlParser.literal(literal).forEach((element) -> texts.add(element.asText()));
		return texts;
	}

	private static boolean isAllowed(KeyDescriptor<?> key, String literal) {
		try {
			return key.convert(TomlParser.literal(literal)).isPresent();
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private static String truth(String text) {
		return switch (text) {
			case "yes", "y" -> "true";
			case "no", "n" -> "false";
			default -> text;
		};
	}

	private static String list(String text) {
		List<String> elements = text.equals(NOTHING) ? List.of()
				: Arrays.stream(text.split(",")).map(String::strip).filter((element) -> !element.isEmpty()).toList();
		return TomlField.of("list", elements).literal();
	}

}
