package org.comfreywall.gateway.pool;

/**
 * The distribution of prompt tokens over the last requests of a service at this entry.
 */
final class PromptQuantiles {

	/** About a minute of a busy entry; a tenth of it still has some twenty samples. */
	private static final int MAX_SAMPLES = 256;

	/** With fewer samples the quantile is taken from the usual prompt alone. */
	private static final int MIN_SAMPLES = 30;

	private final int[] samples = new int[MAX_SAMPLES];

	private int count;

	/**
	 * Records the prompt of a request that has arrived.
	 * @param tokens the number of tokens
	 */
	void record(int tokens) {
		this.samples[this.count % MAX_SAMPLES] = tokens;
		// Stays in the range in which the samples are full.
		this.count = (this.count + 1 < 2 * MAX_SAMPLES) ? this.count + 1 : MAX_SAMPLES;
	}

	/**
	 * Estimates the share of requests with a shorter prompt.
	 * @param tokens the number of tokens
	 * @param usual the mean number of tokens, used while there are few samples
	 * @return the share, from 0 to 1; equal prompts count half
	 */
	double quantile(int tokens, int usual) {
		int present = Math.min(this.count, MAX_SAMPLES);
		if (present < MIN_SAMPLES) {
			// The share of an exponential distribution with this mean.
			return 1 - Math.exp(-(double) tokens / usual);
		}
		int below = 0;
		int equal = 0;
		for (int i = 0; i < present; i++) {
			below += (this.samples[i] < tokens) ? 1 : 0;
			equal += (this.samples[i] == tokens) ? 1 : 0;
		}
		return (below + equal / 2.0) / present;
	}

}
