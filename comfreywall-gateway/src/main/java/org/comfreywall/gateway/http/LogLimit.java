package org.comfreywall.gateway.http;

import java.util.Map;
import java.util.TreeMap;

/**
 * Limits the number of log lines of one kind a second, and counts those left out.
 * <p>
 * Answers the load of callers that are refused as fast as they can send.
 */
final class LogLimit {

	private static final long PERIOD_NANOS = 1_000_000_000L;

	private final int linesPerSecond;

	private boolean begun;

	private long periodStart;

	private int lines;

	private final Map<String, Long> leftOut = new TreeMap<>();

	LogLimit(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	/**
	 * Returns whether a line may be written.
	 * @param reason the reason under which it is counted otherwise, one of few
	 * @param now the current time in nanoseconds
	 * @return {@code false} if it is left out and counted
	 */
	boolean tryWrite(String reason, long now) {
		if (!this.begun || now - this.periodStart >= PERIOD_NANOS) {
			this.begun = true;
			this.periodStart = now;
			this.lines = 0;
		}
		if (this.lines < this.linesPerSecond) {
			this.lines++;
			return true;
		}
		this.leftOut.merge(reason, 1L, Long::sum);
		return false;
	}

	/**
	 * Takes the counts of lines that were left out, once their second is over.
	 * @param now the current time in nanoseconds
	 * @return the number of lines by reason, may be empty
	 */
	Map<String, Long> takeLeftOut(long now) {
		if (this.leftOut.isEmpty() || now - this.periodStart < PERIOD_NANOS) {
			return Map.of();
		}
		Map<String, Long> taken = new TreeMap<>(this.leftOut);
		this.leftOut.clear();
		return taken;
	}

}
