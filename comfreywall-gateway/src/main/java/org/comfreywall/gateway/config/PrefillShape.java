package org.comfreywall.gateway.config;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * How the engines of a service read prompts and generate answers. Engines read a prompt
 * in chunks, one with each token step of the requests in decode.
 *
 * @param tokensPerSecond the prompt tokens that an engine reads per second
 * @param chunk the most prompt tokens that it reads in one step
 * @param capacity the tokens that fit into its memory; {@link Long#MAX_VALUE} if unknown
 * @param slots the most requests that it runs at a time
 * @param stepBase the fixed time of a step
 * @param stepPerRequest the time that each request in decode adds to a step
 * @param stepPerContext the time that 1,000 tokens of context add to a step for each
 * request in decode
 * @param perPairs the time that a million pairs of a prompt token and an earlier one take
 * @param stride the number of steps in a pass, which sends one event for each request
 * @param usualPrompt the mean number of prompt tokens of a request
 * @param usualAnswer the mean number of output tokens of a request
 */
public record PrefillShape(double tokensPerSecond, int chunk, long capacity, int slots, Duration stepBase,
		Duration stepPerRequest, Duration stepPerContext, Duration perPairs, int stride, int usualPrompt,
		int usualAnswer) {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double TOKENS_PER_CONTEXT = 1000;

	private static final double PAIRS = 1e6;

	public PrefillShape {
		Preconditions.check(tokensPerSecond > 0, "tokensPerSecond must be above 0: %s", tokensPerSecond);
		Preconditions.check(chunk >= 1, "chunk must be at least 1: %d", chunk);
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
		Preconditions.check(slots >= 1, "slots must be at least 1: %d", slots);
		Preconditions.notNull(stepBase, "stepBase");
		Preconditions.notNull(stepPerRequest, "stepPerRequest");
		Preconditions.notNull(stepPerContext, "stepPerContext");
		Preconditions.notNull(perPairs, "perPairs");
		Preconditions.check(stride >= 1, "stride must be at least 1: %d", stride);
		Preconditions.check(usualPrompt >= 1, "usualPrompt must be at least 1: %d", usualPrompt);
		Preconditions.check(usualAnswer >= 1, "usualAnswer must be at least 1: %d", usualAnswer);
	}

	/**
	 * Returns the time of a step without prompt tokens.
	 * @param requests the number of requests in decode
	 * @param contextTokens the context of each of them
	 * @return the time in nanoseconds
	 */
	public double stepNanos(double requests, double contextTokens) {
		return this.stepBase.toNanos() + requests
				* (this.stepPerRequest.toNanos() + this.stepPerContext.toNanos() * contextTokens / TOKENS_PER_CONTEXT);
	}

	/**
	 * Returns the time that prompt tokens add to the steps in which they are read.
	 * @param tokens the number of tokens
	 * @param earlier the number of tokens of the same prompt before them
	 * @return the time in nanoseconds
	 */
	public double readNanos(double tokens, double earlier) {
		double pairs = tokens * (earlier + tokens / 2);
		return tokens / this.tokensPerSecond * NANOS_PER_SECOND + pairs / PAIRS * this.perPairs.toNanos();
	}

	/**
	 * Returns the number of events in which output tokens are sent.
	 * @param outputTokens the number of tokens
	 * @return the number of events
	 */
	public int events(int outputTokens) {
		return (int) (((long) outputTokens + this.stride - 1) / this.stride);
	}

}
