package org.comfreywall.entry.route;

import java.util.Arrays;

import org.comfreywall.common.config.PriorityClass;

/**
 * Estimates the prompt tokens queued on one backend server, assuming that the server
 * computes them at a constant rate. Level {@code c} counts the tokens of priority class
 * {@code c} and all higher classes.
 */
final class PromptBacklog {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double[] levels = new double[PriorityClass.values().length];

	private long updatedAt;

	void reset(QueuedTokens tokens, long now) {
		for (PriorityClass priority : PriorityClass.values()) {
			this.levels[priority.ordinal()] = tokens.tokensAhead(priority);
		}
		this.updatedAt = now;
	}

	void add(PriorityClass priority, double tokens, double tokensPerSecond, long now) {
		for (int i = 0; i < this.levels.length; i++) {
			this.levels[i] = remainingTokens(i, tokensPerSecond, now);
		}
		for (int i = priority.ordinal(); i < this.levels.length; i++) {
			this.levels[i] += tokens;
		}
		this.updatedAt = Math.max(this.updatedAt, now);
	}

	double tokensAhead(PriorityClass priority, double tokensPerSecond, long now) {
		return remainingTokens(priority.ordinal(), tokensPerSecond, now);
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
