package org.comfreywall.common.toml;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses durations and sizes written as a number with a unit.
 */
public final class Quantities {

	private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

	private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KB|MB|GB)");

	private static final long BYTES_PER_KILOBYTE = 1024;

	private Quantities() {
	}

	/**
	 * Parses a duration such as {@code 2s}.
	 * @param text a number and {@code ms}, {@code s}, {@code m} or {@code h}
	 * @return the duration, or empty if the text is malformed
	 */
	public static Optional<Duration> parseDuration(String text) {
		Matcher matcher = DURATION.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		Duration duration = switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			default -> Duration.ofHours(amount);
		};
		return Optional.of(duration);
	}

	/**
	 * Parses a size such as {@code 64KB}.
	 * @param text a number and {@code B}, {@code KB}, {@code MB} or {@code GB}
	 * @return the size in bytes, or empty if the text is malformed
	 */
	public static Optional<Long> parseSize(String text) {
		Matcher matcher = SIZE.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		long unit = switch (matcher.group(2)) {
			case "B" -> 1;
			case "KB" -> BYTES_PER_KILOBYTE;
			case "MB" -> BYTES_PER_KILOBYTE * BYTES_PER_KILOBYTE;
			default -> BYTES_PER_KILOBYTE * BYTES_PER_KILOBYTE * BYTES_PER_KILOBYTE;
		};
		return Optional.of(amount * unit);
	}

}
