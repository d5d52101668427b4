package org.comfreywall.gateway.pool;

import java.util.Optional;

import org.comfreywall.common.util.RendezvousHash;

/**
 * Decides which requests one entry may send to one cold server, so that all entries
 * together stay within a {@link WarmUpLimit} without exchanging messages. Addresses the
 * load on a server that has started or turned cold, whose tolerance is a small part of
 * its capacity and is shared by entries that cannot agree while they are cut off.
 * <p>
 * A fixed number of entries is selected for each server by {@link RendezvousHash}. Each
 * of them sends by a token bucket of capacity 1, kept as the least interval between two
 * requests: a bucket of this capacity is full whenever a token is taken. In a sliding
 * second, an entry with the interval 1/r sends at most 1 + r requests. The first requests
 * of the selected entries are spread over one interval, as all of them learn at about the
 * same time that the server is cold.
 * <p>
 * Not thread-safe.
 */
final class WarmUpAllowance {

	private final String server;

	private final long createdAt;

	private boolean started;

	private long lastStart;

	private boolean startedBefore;

	private long startBefore;

	private boolean reserved;

	private long reservedAt;

	private Optional<KnownEntries> ranked = Optional.empty();

	private int rank;

	/**
	 * Creates an allowance without any token.
	 * @param server the identifier of the cold server
	 * @param now the current time in nanoseconds
	 */
	WarmUpAllowance(String server, long now) {
		this.server = server;
		this.createdAt = now;
	}

	/**
	 * Decides whether another request may be granted.
	 * @param limit the bound for all entries
	 * @param entries the entries that share the server; empty if they are not known yet
	 * @param now the current time in nanoseconds
	 * @return the decision
	 */
	WarmUpDecision decide(WarmUpLimit limit, Optional<KnownEntries> entries, long now) {
		WarmUpDecision decision = decideStart(limit, entries, now);
		// A connection that opens slowly holds back others for one interval only.
		boolean taken = decision == WarmUpDecision.ALLOWED && this.reserved
				&& now - this.reservedAt < limit.intervalNanos(entries.get().all().size());
		return taken ? WarmUpDecision.RATE_REACHED : decision;
	}

	private WarmUpDecision decideStart(WarmUpLimit limit, Optional<KnownEntries> entries, long now) {
		if (entries.isEmpty()) {
			return WarmUpDecision.ENTRIES_UNKNOWN;
		}
		if (!isSelected(limit, entries.get())) {
			return WarmUpDecision.NOT_SELECTED;
		}
		return (nanosUntilStart(limit, entries.get(), now) <= 0) ? WarmUpDecision.ALLOWED : WarmUpDecision.RATE_REACHED;
	}

	/**
	 * Returns whether this entry is one of those that send to the server.
	 * @param limit the bound for all entries
	 * @param entries the entries that share the server
	 * @return {@code true} if it is
	 */
	boolean isSelected(WarmUpLimit limit, KnownEntries entries) {
		if (this.ranked.filter((known) -> known == entries).isEmpty()) {
			this.rank = RendezvousHash.rank(this.server, entries.self(), entries.all());
			this.ranked = Optional.of(entries);
		}
		return this.rank < limit.senders(entries.all().size());
	}

	/**
	 * Returns the time until the next request may start.
	 * @param limit the bound for all entries
	 * @param entries the entries that share the server, among which this one is selected
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds; not positive if it may start now
	 */
	double nanosUntilStart(WarmUpLimit limit, KnownEntries entries, long now) {
		double interval = limit.intervalNanos(entries.all().size());
		if (this.started) {
			return interval - (now - this.lastStart);
		}
		double phase = (this.rank + 1.0) / limit.senders(entries.all().size());
		return phase * interval - (now - this.createdAt);
	}

	/**
	 * Holds back other requests until the granted one starts.
	 * @param now the current time in nanoseconds
	 */
	void reserve(long now) {
		this.reserved = true;
		this.reservedAt = now;
	}

	/**
	 * Ends a reservation whose request is not sent.
	 */
	void cancelReservation() {
		this.reserved = false;
	}

	/**
	 * Takes the token for a request that is sent now. The opening of connections may take
	 * different times, so the interval counts from here and not from the grant.
	 * @param limit the bound for all entries
	 * @param entries the entries that share the server; empty if they are not known yet
	 * @param now the current time in nanoseconds
	 * @return {@code false} if the request must not be sent now
	 */
	boolean tryStart(WarmUpLimit limit, Optional<KnownEntries> entries, long now) {
		this.reserved = false;
		if (decideStart(limit, entries, now) != WarmUpDecision.ALLOWED) {
			return false;
		}
		this.startedBefore = this.started;
		this.startBefore = this.lastStart;
		this.started = true;
		this.lastStart = now;
		return true;
	}

	/**
	 * Returns the token of a request that reached another incarnation. Once a later
	 * request has started, there is nothing to return: the bucket would have been full
	 * then without this request too.
	 * @param startedAt when the request started, in nanoseconds
	 */
	void returnToken(long startedAt) {
		if (this.started && this.lastStart == startedAt) {
			this.started = this.startedBefore;
			this.lastStart = this.startBefore;
		}
	}

}
