package org.comfreywall.bench.mapswitch;

/**
 * Decides the fate of each message.
 */
@FunctionalInterface
interface LinkPolicy {

	/**
	 * Returns the delay of each copy that arrives.
	 * @param rank the rank that sends or receives the message, or -1 for a ledger write
	 * @param message the message
	 * @return the delays in nanoseconds; none if the message is lost
	 */
	long[] delays(int rank, Object message);

}
