package org.comfreywall.bench.limits;

import java.util.List;

/**
 * Decides what becomes of a message between an entry and a grantor.
 */
@FunctionalInterface
interface Link {

	/**
	 * Returns the delay of each copy that arrives.
	 * @param entry the index of the entry
	 * @param grantor the index of the grantor, zero for the primary one
	 * @return the delays in nanoseconds, none if the message is lost
	 */
	List<Long> deliver(int entry, int grantor);

}
