package org.comfreywall.common.load;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;

import org.comfreywall.common.util.Preconditions;

/**
 * Estimates the prompt tokens queued on one backend server, assuming that the server
 * computes them at a constant rate. Level {@code c} counts the tokens of urgency
 * {@code c} and of all more urgent ones; 0 is the most urgent.
 */
public final class PromptBacklog {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double[] levels;

	private long updatedAt;

	/**
	 * Creates an empty backlog.
	 * @param levels the number of degrees of urgency, at least 1
	 */
	public PromptBacklog(int levels) {
		Preconditions.check(levels >= 1, "levels must be at least 1: %d", levels);
		this.levels = new double[levels];
	}

	/**
	 * Replaces the backlog by a measured one.
	 * @param tokensAhead the tokens of each level
	 * @param now the time of the measurement in nanoseconds
	 */
	public void reset(IntToDoubleFunction tokensAhead, long now) {
		Arrays.setAll(this.levels, tokensAhead);
		this.updatedAt = now;
	}

	/**
	 * Adds the prompt of a request.
	 * @param level its urgency
	 * @param tokens the tokens to be computed
	 * @param tokensPerSecond the rate at which the server computed tokens until now
	 * @param now the time in nanoseconds
	 */
	public void add(int level, double tokens, double tokensPerSecond, long now) {
		for (int i = 0; i < this.levels.length; i++) {
			this.levels[i] = remainingTokens(i, tokensPerSecond, now);
		}
		for (int i = level; i < this.levels.length; i++) {
			this.levels[i] += tokens;
		}
		this.updatedAt = Math.max(this.updatedAt, now);
	}

	/**
	 * Returns the tokens that are computed before a new prompt.
	 * @param level the urgency of the new prompt
	 * @param tokensPerSecond the rate at which the server computes tokens
	 * @param now the current time in nanoseconds
	 * @return the tokens, at least 0
	 */
	public double tokensAhead(int level, double tokensPerSecond, long now) {
		return remainingTokens(level, tokensPerSecond, now);
	}

	private double remainingTokens(int level, double tokensPerSecond, long now) {
		double seconds = Math.max(0, now - this.updatedAt) / NANOS_PER_SECOND;
		return Math.max(0, this.levels[level] - seconds * tokensPerSecond);
	}

	@Override
	public String toString() {
		return "Backlog" + Arrays.toString(this.levels);
	}

}
