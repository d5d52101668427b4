package org.comfreywall.common.toml;

import java.math.BigDecimal;
import java.net.URI;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreywall.common.util.Preconditions;

/**
 * The types of values in settings and configurations.
 */
public final class ValueTypes {

	private static final int MAX_NAME_LENGTH = 63;

	private static final int MAX_TEXT_LENGTH = 1024;

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?");

	private ValueTypes() {
	}

	/**
	 * Creates the type of names: lower-case letters, digits, dots, dashes and
	 * underscores.
	 * @return the type
	 */
	public static ValueType<String> name() {
		return pattern("name", NAME, "1 to " + MAX_NAME_LENGTH
				+ " lower-case letters, digits, '.', '-' and '_', with a letter or digit first and last");
	}

	/**
	 * Creates a type of strings that match a pattern completely.
	 * @param type the type's name
	 * @param pattern the pattern
	 * @param allowed the description of the allowed strings
	 * @return the type
	 */
	public static ValueType<String> pattern(String type, Pattern pattern, String allowed) {
		return new ValueType<>(type, "", allowed, false,
				(node) -> stringValue(node).filter((value) -> pattern.matcher(value).matches()));
	}

	/**
	 * Creates the type of booleans.
	 * @return the type
	 */
	public static ValueType<Boolean> bool() {
		return new ValueType<>("boolean", "", "true or false", false,
				(node) -> node.isBoolean() ? Optional.of(node.booleanValue()) : Optional.empty());
	}

	/**
	 * Creates a type of integers.
	 * @param min the minimum value, inclusive
	 * @param max the maximum value, inclusive
	 * @return the type
	 */
	public static ValueType<Long> integer(long min, long max) {
		return new ValueType<>("integer", "", min + " to " + max, false,
				(node) -> longValue(node).filter((value) -> value >= min && value <= max));
	}

	/**
	 * Creates a type of decimal numbers.
	 * @param min the minimum value, inclusive
	 * @param max the maximum value, inclusive
	 * @return the type
	 */
	public static ValueType<Double> decimal(double min, double max) {
		return new ValueType<>("number", "", toPlainString(min) + " to " + toPlainString(max), false,
				(node) -> node.isNumber()
						? Optional.of(node.doubleValue()).filter((value) -> value >= min && value <= max)
						: Optional.empty());
	}

	/**
	 * Creates a type of durations such as {@code "2s"}.
	 * @param min the minimum duration, inclusive
	 * @param max the maximum duration, inclusive
	 * @return the type
	 */
	public static ValueType<Duration> duration(String min, String max) {
		Duration from = Quantities.parseDuration(min).orElseThrow();
		Duration to = Quantities.parseDuration(max).orElseThrow();
		return new ValueType<>("duration", "ms, s, m or h", "\"" + min + "\" to \"" + max + "\"", false,
				(node) -> stringValue(node).flatMap(Quantities::parseDuration)
					.filter((value) -> value.compareTo(from) >= 0 && value.compareTo(to) <= 0));
	}

	/**
	 * Creates a type of sizes such as {@code "64KB"}, converted to bytes.
	 * @param min the minimum size, inclusive
	 * @param max the maximum size, inclusive
	 * @return the type
	 */
	public static ValueType<Long> size(String min, String max) {
		long from = Quantities.parseSize(min).orElseThrow();
		long to = Quantities.parseSize(max).orElseThrow();
		return new ValueType<>("size", "B, KB, MB or GB", "\"" + min + "\" to \"" + max + "\"", false,
				(node) -> stringValue(node).flatMap(Quantities::parseSize)
					.filter((value) -> value >= from && value <= to));
	}

	/**
	 * Creates the type of addresses such as {@code "10.0.0.1:7400"}.
	 * @return the type
	 */
	public static ValueType<HostPort> address() {
		return new ValueType<>("address", "",
				"IP:PORT or localhost:PORT with a port of 0 to 65535, an IPv6 number in brackets", false,
				(node) -> stringValue(node).flatMap(HostPort::parse));
	}

	/**
	 * Creates the type of HTTP URLs without a query.
	 * @return the type
	 */
	public static ValueType<URI> httpUrl() {
		return new ValueType<>("URL", "", "http://HOST:PORT or https://HOST:PORT, with or without a path", false,
				(node) -> stringValue(node).flatMap(HttpUrls::parse));
	}

	/**
	 * Creates the type of paths of files and folders.
	 * @return the type
	 */
	public static ValueType<Path> path() {
		return new ValueType<>("path", "", "the path of a file or folder", false,
				(node) -> stringValue(node).filter((value) -> !value.isBlank()).flatMap(ValueTypes::parsePath));
	}

	/**
	 * Creates the type of an enum's constants, written in lower case with dashes.
	 * @param <E> the enum
	 * @param type the enum's class
	 * @return the type
	 */
	public static <E extends Enum<E>> ValueType<E> oneOf(Class<E> type) {
		Map<String, E> constants = new LinkedHashMap<>();
		List.of(type.getEnumConstants()).forEach((constant) -> constants.put(lowerCase(constant), constant));
		String allowed = "\"" + String.join("\", \"", constants.keySet()) + "\"";
		return new ValueType<>("choice", "", allowed, false,
				(node) -> stringValue(node).flatMap((value) -> Optional.ofNullable(constants.get(value))));
	}

	/**
	 * Creates a type of lists without duplicate elements.
	 * @param <T> the type of the elements
	 * @param element the elements' type
	 * @param min the minimum number of elements
	 * @param max the maximum number of elements
	 * @return the type
	 */
	public static <T> ValueType<List<T>> listOf(ValueType<T> element, int min, int max) {
		String count = (min == 0) ? "up to " + max : min + " to " + max;
		return new ValueType<>("list of " + element.name(), element.unit(),
				count + " different values, each " + element.allowed(), element.secret(),
				(node) -> convertElements(node, element).filter((list) -> list.size() >= min && list.size() <= max));
	}

	/**
	 * Returns an enum constant's name as it is written in documents.
	 * @param value the constant
	 * @return its name in lower case with dashes
	 */
	public static String lowerCase(Enum<?> value) {
		return Preconditions.notNull(value, "value").name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static String toPlainString(double value) {
		return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
	}

	private static Optional<String> stringValue(JsonNode node) {
		return node.isTextual() ? Optional.of(node.textValue())
			.filter((value) -> value.length() <= MAX_TEXT_LENGTH && isPrintable(value)) : Optional.empty();
	}

	private static boolean isPrintable(String value) {
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			if (Character.isISOControl(c) || Character.isSurrogate(c)) {
				return value.codePoints().allMatch(ValueTypes::isPrintable);
			}
		}
		return true;
	}

	private static boolean isPrintable(int c) {
		return !Character.isISOControl(c) && Character.getType(c) != Character.SURROGATE;
	}

	private static Optional<Long> longValue(JsonNode node) {
		return (node.isIntegralNumber() && node.canConvertToLong()) ? Optional.of(node.longValue()) : Optional.empty();
	}

	private static Optional<Path> parsePath(String text) {
		try {
			return Optional.of(Path.of(text));
		}
		catch (InvalidPathException ex) {
			return Optional.empty();
		}
	}

	private static <T> Optional<List<T>> convertElements(JsonNode node, ValueType<T> type) {
		if (!node.isArray()) {
			return Optional.empty();
		}
		List<T> values = new ArrayList<>();
		for (JsonNode element : node) {
			type.converter().apply(element).ifPresent(values::add);
		}
		boolean valid = values.size() == node.size() && new HashSet<>(values).size() == values.size();
		return valid ? Optional.of(List.copyOf(values)) : Optional.empty();
	}

}
