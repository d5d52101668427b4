package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.LruMap;
import org.comfreywall.gateway.pool.KnownEntries;

/**
 * Tracks the entries among which rates are divided, by their addresses. An entry that is
 * cut off must keep counting the others, as they go on using their shares.
 */
final class EntryTracker {

	/**
	 * Time for which an entry counts after the membership table has dropped it. If the
	 * halves of a partition forgot each other, each would use the whole rate; entries
	 * that no longer exist only leave their shares unused.
	 */
	static final Duration RETENTION = Duration.ofMinutes(10);

	/**
	 * Time from the first full update until the entries count as known. The updates of
	 * this process, one every 200 ms, have reached the others by then, so that they have
	 * reduced their shares before it takes its own.
	 */
	static final Duration SETTLING = Duration.ofSeconds(1);

	private static final int MAX_ENTRIES = 2_000;

	private final HostPort self;

	private final Map<HostPort, Long> lastKnown = new LruMap<>(MAX_ENTRIES);

	private OptionalLong firstFullUpdate = OptionalLong.empty();

	private KnownEntries known;

	/**
	 * Creates a tracker at the start of a process.
	 * @param self the address of this process
	 * @param seeds the addresses of other processes in the settings; may include this one
	 */
	EntryTracker(HostPort self, List<HostPort> seeds) {
		this.self = self;
		this.known = entries(seeds);
	}

	private KnownEntries entries(Collection<HostPort> others) {
		Set<String> all = new HashSet<>(List.of(this.self.toString()));
		others.forEach((address) -> all.add(address.toString()));
		return new KnownEntries(this.self.toString(), all);
	}

	/**
	 * Records the entries that are known now.
	 * @param addresses their addresses, also of those that have been silent or were never
	 * reached
	 * @param now the current time in nanoseconds
	 */
	void recordKnown(Collection<HostPort> addresses, long now) {
		addresses.forEach((address) -> this.lastKnown.put(address, now));
		this.lastKnown.values().removeIf((at) -> now - at > RETENTION.toNanos());
		KnownEntries newer = entries(this.lastKnown.keySet());
		// The same object tells that ranks need not be computed again.
		if (!newer.equals(this.known)) {
			this.known = newer;
		}
	}

	/**
	 * Records an update that was received from another process.
	 * @param full whether it names all processes that the sender knows
	 * @param now the current time in nanoseconds
	 */
	void recordUpdate(boolean full, long now) {
		if (full && this.firstFullUpdate.isEmpty()) {
			this.firstFullUpdate = OptionalLong.of(now);
		}
	}

	/**
	 * Returns the entries.
	 * @param now the current time in nanoseconds
	 * @return all entries that were known within the retention; empty if there are others
	 * that may know of more
	 */
	Optional<KnownEntries> entries(long now) {
		boolean settled = this.firstFullUpdate.isPresent()
				&& now - this.firstFullUpdate.getAsLong() >= SETTLING.toNanos();
		return (settled || this.known.all().size() == 1) ? Optional.of(this.known) : Optional.empty();
	}

}
