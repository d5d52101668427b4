package org.comfreywall.gateway.pool;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.comfreywall.common.util.Preconditions;

/**
 * The size of a request, as its caller states it.
 *
 * @param promptTokens the number of prompt tokens
 * @param maxOutputTokens the most output tokens that the request allows
 * @param lengthHint the caller's estimate of output tokens; accurate at the median, often
 * far off
 */
public record RequestSize(int promptTokens, int maxOutputTokens, OptionalInt lengthHint) {

	/** Nine digits fit into an {@code int}. */
	private static final Pattern COUNTS = Pattern.compile("\\s*(\\d{1,9})\\s*,\\s*(\\d{1,9})\\s*");

	private static final Pattern HINT = Pattern.compile("\\s*(\\d{1,9})\\s*");

	public RequestSize {
		Preconditions.check(promptTokens >= 0, "promptTokens must not be negative: %d", promptTokens);
		Preconditions.check(maxOutputTokens >= 0, "maxOutputTokens must not be negative: %d", maxOutputTokens);
		Preconditions.notNull(lengthHint, "lengthHint");
	}

	/**
	 * Creates a size without a hint.
	 * @param promptTokens the number of prompt tokens
	 * @param maxOutputTokens the most output tokens that the request allows
	 */
	public RequestSize(int promptTokens, int maxOutputTokens) {
		this(promptTokens, maxOutputTokens, OptionalInt.empty());
	}

	/**
	 * Parses the headers of a request.
	 * @param counts the token counts as {@code PROMPT,MAX_OUTPUT}; may be empty
	 * @param hint the estimate of output tokens; may be empty
	 * @return the size; empty if the counts are missing or malformed
	 */
	public static Optional<RequestSize> parse(String counts, String hint) {
		Matcher matcher = COUNTS.matcher(counts);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		Matcher hinted = HINT.matcher(hint);
		OptionalInt estimate = hinted.matches() ? OptionalInt.of(Integer.parseInt(hinted.group(1)))
				: OptionalInt.empty();
		return Optional
			.of(new RequestSize(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)), estimate));
	}

	/**
	 * Returns the most tokens that a server holds for the request.
	 * @return prompt and output tokens
	 */
	public long tokens() {
		return (long) this.promptTokens + this.maxOutputTokens;
	}

	/**
	 * Returns the expected number of output tokens. Hints are often far off, so the
	 * expectation is halfway between the hint and what is usual.
	 * @param usual the mean over all requests
	 * @return the number, at most {@link #maxOutputTokens()}
	 */
	public int expectedOutputTokens(int usual) {
		long expected = this.lengthHint.isPresent() ? ((long) this.lengthHint.getAsInt() + usual) / 2 : usual;
		return (int) Math.min(this.maxOutputTokens, expected);
	}

}
