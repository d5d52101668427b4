package org.comfreywall.common.toml;

import java.math.BigDecimal;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreywall.common.util.Preconditions;

/**
 * Creates the types of values that documents use.
 */
public final class ValueTypes {

	private static final int NAME_LENGTH = 63;

	private static final int TEXT_LENGTH = 1024;

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?");

	private ValueTypes() {
	}

	/**
	 * Creates the type of names: lower-case letters, digits, dots, dashes and
	 * underscores.
	 * @return the type
	 */
	public static ValueType<String> name() {
		return pattern("name", NAME, "1 to " + NAME_LENGTH
				+ " lower-case letters, digits, '.', '-' and '_', with a letter or digit first and last");
	}

	/**
	 * Creates a type of texts that match a pattern as a whole.
	 * @param type the type's name
	 * @param pattern the pattern
	 * @param allowed the allowed texts, in words
	 * @return the type
	 */
	public static ValueType<String> pattern(String type, Pattern pattern, String allowed) {
		return new ValueType<>(type, "", allowed, false,
				(node) -> text(node).filter((value) -> pattern.matcher(value).matches()));
	}

	/**
	 * Creates the type of truth values.
	 * @return the type
	 */
	public static ValueType<Boolean> bool() {
		return new ValueType<>("boolean", "", "true or false", false,
				(node) -> node.isBoolean() ? Optional.of(node.booleanValue()) : Optional.empty());
	}

	/**
	 * Creates a type of integers.
	 * @param least the least value allowed
	 * @param greatest the greatest value allowed
	 * @return the type
	 */
	public static ValueType<Long> integer(long least, long greatest) {
		return new ValueType<>("integer", "", least + " to " + greatest, false,
				(node) -> longValue(node).filter((value) -> value >= least && value <= greatest));
	}

	/**
	 * Creates a type of decimal numbers.
	 * @param least the least value allowed
	 * @param greatest the greatest value allowed
	 * @return the type
	 */
	public static ValueType<Double> decimal(double least, double greatest) {
		return new ValueType<>("number", "", plain(least) + " to " + plain(greatest), false,
				(node) -> node.isNumber()
						? Optional.of(node.doubleValue()).filter((value) -> value >= least && value <= greatest)
						: Optional.empty());
	}

	/**
	 * Creates a type of durations such as {@code "2s"}.
	 * @param least the shortest duration allowed
	 * @param greatest the longest duration allowed
	 * @return the type
	 */
	public static ValueType<Duration> duration(String least, String greatest) {
		Duration from = Quantities.parseDuration(least).orElseThrow();
		Duration to = Quantities.parseDuration(greatest).orElseThrow();
		return new ValueType<>("duration", "ms, s, m or h", "\"" + least + "\" to \"" + greatest + "\"", false,
				(node) -> text(node).flatMap(Quantities::parseDuration)
					.filter((value) -> value.compareTo(from) >= 0 && value.compareTo(to) <= 0));
	}

	/**
	 * Creates a type of sizes such as {@code "64KB"}, converted to bytes.
	 * @param least the smallest size allowed
	 * @param greatest the largest size allowed
	 * @return the type
	 */
	public static ValueType<Long> size(String least, String greatest) {
		long from = Quantities.parseSize(least).orElseThrow();
		long to = Quantities.parseSize(greatest).orElseThrow();
		return new ValueType<>("size", "B, KB, MB or GB", "\"" + least + "\" to \"" + greatest + "\"", false,
				(node) -> text(node).flatMap(Quantities::parseSize).filter((value) -> value >= from && value <= to));
	}

	/**
	 * Creates the type of addresses such as {@code "10.0.0.1:7400"}.
	 * @return the type
	 */
	public static ValueType<HostPort> address() {
		return new ValueType<>("address", "",
				"IP:PORT or localhost:PORT with a port of 0 to 65535, an IPv6 number in brackets", false,
				(node) -> text(node).flatMap(HostPort::parse));
	}

	/**
	 * Creates the type of HTTP URLs without a query.
	 * @return the type
	 */
	public static ValueType<URI> httpUrl() {
		return new ValueType<>("URL", "", "http://HOST:PORT or https://HOST:PORT, with or without a path", false,
				(node) -> text(node).flatMap(ValueTypes::parseUrl));
	}

	/**
	 * Creates the type of paths of files and folders.
	 * @return the type
	 */
	public static ValueType<Path> path() {
		return new ValueType<>("path", "", "the path of a file or folder", false,
				(node) -> text(node).filter((value) -> !value.isBlank()).flatMap(ValueTypes::parsePath));
	}

	/**
	 * Creates a type from the constants of an enum, written in lower case with dashes.
	 * @param <E> the enum
	 * @param type the enum's class
	 * @return the type
	 */
	public static <E extends Enum<E>> ValueType<E> oneOf(Class<E> type) {
		List<E> constants = List.of(type.getEnumConstants());
		String allowed = String.join(", ", constants.stream().map((value) -> "\"" + lowerCase(value) + "\"").toList());
		return new ValueType<>("choice", "", allowed, false, (node) -> text(node)
			.flatMap((value) -> constants.stream().filter((e) -> lowerCase(e).equals(value)).findFirst()));
	}

	/**
	 * Creates a type of lists without repeated elements.
	 * @param <T> the type of the elements
	 * @param element the elements' type
	 * @param least the least number of elements
	 * @param greatest the greatest number of elements
	 * @return the type
	 */
	public static <T> ValueType<List<T>> listOf(ValueType<T> element, int least, int greatest) {
		String count = (least == 0) ? "up to " + greatest : least + " to " + greatest;
		return new ValueType<>("list of " + element.name(), element.unit(),
				count + " different values, each " + element.allowed(), element.secret(),
				(node) -> elements(node, element).filter((list) -> list.size() >= least && list.size() <= greatest));
	}

	/**
	 * Writes an enum constant as documents do.
	 * @param value the constant
	 * @return its name in lower case with dashes
	 */
	public static String lowerCase(Enum<?> value) {
		return Preconditions.notNull(value, "value").name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static String plain(double value) {
		return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
	}

	private static Optional<String> text(JsonNode node) {
		return node.isTextual()
				? Optional.of(node.textValue()).filter((value) -> value.length() <= TEXT_LENGTH && isPlain(value))
				: Optional.empty();
	}

	private static boolean isPlain(String value) {
		return value.codePoints()
			.allMatch((c) -> !Character.isISOControl(c) && Character.getType(c) != Character.SURROGATE);
	}

	private static Optional<Long> longValue(JsonNode node) {
		return (node.isIntegralNumber() && node.canConvertToLong()) ? Optional.of(node.longValue()) : Optional.empty();
	}

	private static Optional<URI> parseUrl(String text) {
		try {
			URI url = new URI(text);
			boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
			boolean plain = url.getQuery() == null && url.getFragment() == null && url.getUserInfo() == null;
			return (http && plain && url.getHost() != null) ? Optional.of(url) : Optional.empty();
		}
		catch (URISyntaxException ex) {
			return Optional.empty();
		}
	}

	private static Optional<Path> parsePath(String text) {
		try {
			return Optional.of(Path.of(text));
		}
		catch (InvalidPathException ex) {
			return Optional.empty();
		}
	}

	private static <T> Optional<List<T>> elements(JsonNode node, ValueType<T> type) {
		if (!node.isArray()) {
			return Optional.empty();
		}
		List<T> values = new ArrayList<>();
		for (JsonNode element : node) {
			type.converter().apply(element).ifPresent(values::add);
		}
		boolean whole = values.size() == node.size() && new HashSet<>(values).size() == values.size();
		return whole ? Optional.of(List.copyOf(values)) : Optional.empty();
	}

}
