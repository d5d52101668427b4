package org.comfreywall.entry.kv;

/**
 * How a chosen backend server obtains the part of a prompt's key-value cache that it
 * lacks.
 */
public sealed interface KvPlan permits Recompute, KvTransfer {

	/**
	 * Returns the expected time until the prompt's cache is complete.
	 * @return the time in nanoseconds
	 */
	long expectedNanos();

}
