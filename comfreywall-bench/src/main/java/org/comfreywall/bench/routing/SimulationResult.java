package org.comfreywall.bench.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Collects the times to first token, the throughput and the cache hits of one simulation.
 */
final class SimulationResult {

	private static final long NO_FIRST_TOKEN = -1;

	private final long[] firstTokenNanos;

	private final long fromNanos;

	private final long untilNanos;

	private long promptTokens;

	private long cachedTokens;

	private long finishedRequests;

	private long[] sortedLatencyNanos = new long[0];

	SimulationResult(int arrivals, long fromNanos, long untilNanos) {
		this.firstTokenNanos = new long[arrivals];
		Arrays.fill(this.firstTokenNanos, NO_FIRST_TOKEN);
		this.fromNanos = fromNanos;
		this.untilNanos = untilNanos;
	}

	/**
	 * Records the first token of a request.
	 * @param arrival the request
	 * @param cachedTokens the number of its prompt tokens found in the prefix cache
	 * @param time the time in nanoseconds at which the token reached the entry instance
	 */
	void recordFirstToken(Arrival arrival, int cachedTokens, long time) {
		this.firstTokenNanos[arrival.number()] = time - arrival.arrivalNanos();
		if (arrival.arrivalNanos() >= this.fromNanos) {
			this.promptTokens += arrival.promptTokens();
			this.cachedTokens += cachedTokens;
		}
	}

	/**
	 * Records the end of a request.
	 * @param time the time in nanoseconds
	 */
	void recordFinished(long time) {
		this.finishedRequests += (time >= this.fromNanos && time < this.untilNanos) ? 1 : 0;
	}

	/**
	 * Collects the measured times to first token at the end of the simulation.
	 * @param arrivals all requests of the simulation
	 */
	void collectLatencies(List<Arrival> arrivals) {
		this.sortedLatencyNanos = arrivals.stream()
			.filter((arrival) -> arrival.arrivalNanos() >= this.fromNanos && arrival.arrivalNanos() < this.untilNanos)
			.mapToLong(this::latencyNanos)
			.sorted()
			.toArray();
	}

	/**
	 * Returns a quantile of the time to first token.
	 * @param quantile the quantile between 0 and 1
	 * @return the time in milliseconds
	 */
	double firstTokenMillis(double quantile) {
		int index = (int) Math.ceil(quantile * this.sortedLatencyNanos.length) - 1;
		return this.sortedLatencyNanos[Math.max(0, index)] / 1e6;
	}

	/**
	 * Returns the share of the prompt tokens that were found in a prefix cache.
	 * @return the share between 0 and 1
	 */
	double cachedTokenShare() {
		return (this.promptTokens > 0) ? (double) this.cachedTokens / this.promptTokens : 0;
	}

	double finishedPerSecond() {
		return this.finishedRequests * 1e9 / (this.untilNanos - this.fromNanos);
	}

	private long latencyNanos(Arrival arrival) {
		long nanos = this.firstTokenNanos[arrival.number()];
		return (nanos != NO_FIRST_TOKEN) ? nanos : this.untilNanos - arrival.arrivalNanos();
	}

}
