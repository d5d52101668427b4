package org.comfreywall.entry.kv;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.util.Preconditions;

/**
 * The server imports key-value cache that another server exports, and computes the rest.
 *
 * @param source the exporting backend server
 * @param tokens the expected number of imported tokens
 * @param expectedNanos the expected time in nanoseconds
 */
public record KvTransfer(BackendServerId source, long tokens, long expectedNanos) implements KvPlan {

	public KvTransfer {
		Preconditions.notNull(source, "source");
		Preconditions.check(tokens >= 1, "tokens must be at least 1: %d", tokens);
		Preconditions.check(expectedNanos >= 0, "expectedNanos must not be negative: %d", expectedNanos);
	}

}
