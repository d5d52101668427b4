package org.comfreywall.bench.routing;

/**
 * A request on a worker.
 */
final class Sequence {

	private final Arrival arrival;

	private final long order;

	private int uncachedTokens;

	private int remainingTokens;

	private int generated;

	Sequence(Arrival arrival, long order) {
		this.arrival = arrival;
		this.order = order;
	}

	Arrival arrival() {
		return this.arrival;
	}

	long order() {
		return this.order;
	}

	void admit(int cachedTokens) {
		this.uncachedTokens = Math.max(1, this.arrival.promptTokens() - cachedTokens);
		this.remainingTokens = this.uncachedTokens;
	}

	int cachedTokens() {
		return this.arrival.promptTokens() - this.uncachedTokens;
	}

	int remainingTokens() {
		return this.remainingTokens;
	}

	void compute(int tokens) {
		this.remainingTokens -= tokens;
	}

	boolean isDecoding() {
		return this.generated > 0;
	}

	void generate() {
		this.generated++;
	}

	boolean isFinished() {
		return this.generated >= this.arrival.outputTokens();
	}

}
