package org.comfreywall.bench.routing;

import java.util.Arrays;
import java.util.List;

/**
 * What one run measured.
 */
final class RunResult {

	private static final long MISSING = -1;

	private final long[] firstTokenNanos;

	private final long from;

	private final long until;

	private long promptTokens;

	private long cachedTokens;

	private long finished;

	private long[] measured = new long[0];

	RunResult(int arrivals, long from, long until) {
		this.firstTokenNanos = new long[arrivals];
		Arrays.fill(this.firstTokenNanos, MISSING);
		this.from = from;
		this.until = until;
	}

	void firstToken(Arrival arrival, int cached, long time) {
		this.firstTokenNanos[arrival.number()] = time - arrival.at();
		if (arrival.at() >= this.from) {
			this.promptTokens += arrival.promptTokens();
			this.cachedTokens += cached;
		}
	}

	void finished(long time) {
		this.finished += (time >= this.from && time < this.until) ? 1 : 0;
	}

	void end(List<Arrival> arrivals) {
		this.measured = arrivals.stream()
			.filter((arrival) -> arrival.at() >= this.from && arrival.at() < this.until)
			.mapToLong(this::nanos)
			.sorted()
			.toArray();
	}

	double firstTokenMillis(double quantile) {
		int index = (int) Math.ceil(quantile * this.measured.length) - 1;
		return this.measured[Math.max(0, index)] / 1e6;
	}

	double hitShare() {
		return (this.promptTokens > 0) ? (double) this.cachedTokens / this.promptTokens : 0;
	}

	double finishedPerSecond() {
		return this.finished * 1e9 / (this.until - this.from);
	}

	private long nanos(Arrival arrival) {
		long nanos = this.firstTokenNanos[arrival.number()];
		return (nanos != MISSING) ? nanos : this.until - arrival.at();
	}

}
