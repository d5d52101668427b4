package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Reads the time for which a backend server that rejected a request wants no others.
 */
final class RetryAfter {

	private static final Pattern SECONDS = Pattern.compile("\\d+(\\.\\d*)?|\\.\\d+");

	private static final double NANOS_PER_SECOND = 1e9;

	/** About thirty years, which the arithmetic in nanoseconds allows. */
	private static final double MAX_NANOS = 1e18;

	private RetryAfter() {
	}

	/**
	 * Returns whether a response states such a time, readable or not.
	 * @param head the status and headers
	 * @return {@code true} for status 503 with the header
	 */
	static boolean isStated(HttpResponse head) {
		return head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
				&& head.headers().contains(HttpHeaderNames.RETRY_AFTER);
	}

	/**
	 * Reads the time.
	 * @param head the status and headers
	 * @return the time; empty without one, and for a date or anything else but a number
	 * of seconds, which may have a fraction
	 */
	static Optional<Duration> of(HttpResponse head) {
		return Optional.of(head)
			.filter(RetryAfter::isStated)
			.map((rejection) -> rejection.headers().get(HttpHeaderNames.RETRY_AFTER).trim())
			.filter((value) -> SECONDS.matcher(value).matches())
			.map((value) -> Math.min(MAX_NANOS, Double.parseDouble(value) * NANOS_PER_SECOND))
			.map((nanos) -> Duration.ofNanos(nanos.longValue()));
	}

}
