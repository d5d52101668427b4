package org.comfreywall.entry.kv;

import org.comfreywall.common.util.Preconditions;

/**
 * The server computes all of the key-value cache that it lacks.
 *
 * @param expectedNanos the expected time in nanoseconds
 */
public record Recompute(long expectedNanos) implements KvPlan {

	public Recompute {
		Preconditions.check(expectedNanos >= 0, "expectedNanos must not be negative: %d", expectedNanos);
	}

}
