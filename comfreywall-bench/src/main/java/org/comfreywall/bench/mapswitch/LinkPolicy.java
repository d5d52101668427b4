package org.comfreywall.bench.mapswitch;

/**
 * Decides which messages are lost or duplicated and when each copy arrives.
 */
@FunctionalInterface
interface LinkPolicy {

	/**
	 * Returns the delay of each copy of a message.
	 * @param rank the rank that sends or receives the message, or {@link Link#LEDGER}
	 * @param message the message
	 * @return one delay in nanoseconds for each copy; empty if the message is lost
	 */
	long[] deliveryDelays(int rank, Object message);

}
