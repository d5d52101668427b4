package org.comfreywall.bench.routing;

/**
 * A request that is queued or running on a simulated backend server.
 */
final class Sequence {

	private final Arrival arrival;

	private final long submissionOrder;

	private int uncachedTokens;

	private int remainingPromptTokens;

	private int generatedTokens;

	Sequence(Arrival arrival, long order) {
		this.arrival = arrival;
		this.submissionOrder = order;
	}

	Arrival arrival() {
		return this.arrival;
	}

	long submissionOrder() {
		return this.submissionOrder;
	}

	/**
	 * Starts the prefill. At least one prompt token is computed even if the whole prompt
	 * is cached.
	 * @param cachedTokens the number of prompt tokens found in the prefix cache
	 */
	void startPrefill(int cachedTokens) {
		this.uncachedTokens = Math.max(1, this.arrival.promptTokens() - cachedTokens);
		this.remainingPromptTokens = this.uncachedTokens;
	}

	int cachedTokens() {
		return this.arrival.promptTokens() - this.uncachedTokens;
	}

	/**
	 * Returns the number of prompt tokens that are still to be prefilled.
	 * @return the number of tokens
	 */
	int remainingPromptTokens() {
		return this.remainingPromptTokens;
	}

	/**
	 * Records prompt tokens as prefilled.
	 * @param tokens the number of tokens
	 */
	void recordPrefilled(int tokens) {
		this.remainingPromptTokens -= tokens;
	}

	boolean isDecoding() {
		return this.generatedTokens > 0;
	}

	void generateToken() {
		this.generatedTokens++;
	}

	boolean isFinished() {
		return this.generatedTokens >= this.arrival.outputTokens();
	}

}
