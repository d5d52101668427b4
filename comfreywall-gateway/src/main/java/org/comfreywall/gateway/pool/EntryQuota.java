package org.comfreywall.gateway.pool;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Bounds by how many requests one of several entries may raise its own number in a group
 * until it hears of the others again.
 * <p>
 * Addresses a service whose groups are all at their limits: as soon as requests of one
 * group end, all entries see the same room there, and each of them fills it. The group
 * then has a tenth more requests than its limit, and all its streams are late. An entry
 * therefore takes at most two even shares of the room within the interval of the counts;
 * requests of its own that end can be replaced at once. Not thread-safe.
 */
final class EntryQuota {

	/** Interval at which entries send each other their counts. */
	private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * Multiple of the even share of the room. Arrivals are uneven: with a factor of 1 a
	 * busy entry refuses requests that a group has room for.
	 */
	private static final int SHARES = 2;

	private final RandomGenerator random;

	private boolean started;

	private long startedAt;

	private int most;

	/**
	 * Creates a quota.
	 * @param random rounds shares of less than a request, so that entries differ
	 */
	EntryQuota(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns whether this entry may send another request.
	 * @param own its requests in flight in the group
	 * @param room the requests that the group can take until it is at its limit
	 * @param entries the number of entries, at least 1
	 * @param now the current time in nanoseconds
	 * @return {@code false} once its share of the room of this interval is used
	 */
	boolean allows(int own, int room, int entries, long now) {
		if (!this.started || now - this.startedAt >= INTERVAL_NANOS) {
			this.started = true;
			this.startedAt = now;
			this.most = own + share(room, entries);
		}
		return own < this.most;
	}

	private int share(int room, int entries) {
		double exact = Math.max(0, room) * SHARES / (double) entries;
		int whole = (int) exact;
		return whole + ((this.random.nextDouble() < exact - whole) ? 1 : 0);
	}

}
