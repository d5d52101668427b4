package org.comfreywall.gateway.pool;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounds the tokens that the requests of all entries hold on one backend server, as an
 * engine that holds more than its memory crashes. It addresses large requests that
 * several entries send to the same server before they hear of each other.
 * <p>
 * An engine runs only as many requests as it has slots, and a request holds nothing until
 * it runs. Half of the memory is divided among the slots: a request up to that base is
 * always allowed. The other half is divided among the entries: what a request holds
 * beyond the base counts against the share of its entry. The sum then stays within the
 * memory whatever the entries know of each other, if no entry assumes fewer entries than
 * there are. An entry that does not know their number yet has no share.
 */
final class TokenBound {

	/** Share of the memory that is divided among the slots. */
	private static final double SLOTS_SHARE = 0.5;

	private final long capacity;

	private final long base;

	/**
	 * Creates a bound.
	 * @param capacity the tokens that fit into the memory of an engine
	 * @param slots the most requests that it runs at a time
	 */
	TokenBound(long capacity, int slots) {
		Preconditions.check(slots >= 1, "slots must be at least 1: %d", slots);
		this.capacity = capacity;
		this.base = (long) (SLOTS_SHARE * capacity / slots);
	}

	/**
	 * Returns whether a request is larger than the memory of an engine.
	 * @param size the request's size
	 * @return {@code true} if no server can ever run it
	 */
	boolean exceedsMemory(RequestSize size) {
		return size.tokens() > this.capacity;
	}

	/**
	 * Returns whether a request is always allowed.
	 * @param size the request's size
	 * @return {@code true} if it holds no more than the base
	 */
	boolean isOrdinary(RequestSize size) {
		return size.tokens() <= this.base;
	}

	/**
	 * Returns whether a request fits on a server without other requests.
	 * @param size the request's size
	 * @param entries the number of entries that may send to the server; 0 if unknown
	 * @return {@code false} if it can't be sent to any server at present
	 */
	boolean allowsAlone(RequestSize size, int entries) {
		return size.tokens() - this.base <= share(entries);
	}

	/**
	 * Returns whether a request may be sent to a server now.
	 * @param work the work of this entry on the server
	 * @param size the request's size
	 * @param entries the number of entries that may send to the server; 0 if unknown
	 * @return {@code true} if the tokens fit
	 */
	boolean allows(ServerWork work, RequestSize size, int entries) {
		return isOrdinary(size) || work.heldBeyond(this.base) + size.tokens() - this.base <= share(entries);
	}

	private long share(int entries) {
		return (entries < 1) ? 0 : (this.capacity - (long) (SLOTS_SHARE * this.capacity)) / entries;
	}

}
