package org.comfreywall.bench.routing;

/**
 * A request that is queued or running on a simulated backend server.
 */
final class Sequence {

	private final Arrival arrival;

	private final long order;

	private int uncachedTokens;

	private int remainingTokens;

	private int generatedTokens;

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

	/**
	 * Starts the prefill. At least one prompt token is computed even if the whole prompt
	 * is cached.
	 * @param cachedTokens the number of prompt tokens found in the prefix cache
	 */
	void admit(int cachedTokens) {
		this.uncachedTokens = Math.max(1, this.arrival.promptTokens() - cachedTokens);
		this.remainingTokens = this.uncachedTokens;
	}

	int cachedTokens() {
		return this.arrival.promptTokens() - this.uncachedTokens;
	}

	/**
	 * Returns the number of prompt tokens that are still to be prefilled.
	 * @return the number of tokens
	 */
	int remainingTokens() {
		return this.remainingTokens;
	}

	/**
	 * Records prompt tokens as prefilled.
	 * @param tokens the number of tokens
	 */
	void compute(int tokens) {
		this.remainingTokens -= tokens;
	}

	boolean isDecoding() {
		return this.generatedTokens > 0;
	}

	void generate() {
		this.generatedTokens++;
	}

	boolean isFinished() {
		return this.generatedTokens >= this.arrival.outputTokens();
	}

}
