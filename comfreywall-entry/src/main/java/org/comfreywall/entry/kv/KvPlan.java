package org.comfreywall.entry.kv;

/**
 * How a chosen backend server gets the key-value cache of a prompt that it does not hold.
 */
public sealed interface KvPlan permits Recompute, Move {

	/**
	 * Returns the expected time until the prompt's cache is complete.
	 * @return the time in nanoseconds
	 */
	long expectedNanos();

}
