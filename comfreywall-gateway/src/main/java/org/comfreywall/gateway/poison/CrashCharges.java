package org.comfreywall.gateway.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Charges of crashes, the responses that cleared them and the convictions that follow.
 * <p>
 * Deterministic: the same calls in the same order leave the same state, as the replicas
 * of the {@link PoisonEvidenceLedger} must agree. A version with other rules or limits
 * needs another format of its commands. At most {@value #MAX_CHARGES} charges are kept.
 * Cleared and old ones are evicted first, then those of the client account that has most
 * of them, so that no account can evict what another one is convicted or suspected of.
 * Not thread-safe.
 */
final class CrashCharges {

	/**
	 * Crashes of a part that was never served before it is refused in any combination.
	 */
	private static final int CRASHES_OF_NEW_PART = 2;

	/** Crashes of a part that was served before it is refused. */
	private static final int CRASHES_OF_KNOWN_PART = 3;

	/** Crashes of one request and its repeats before it is refused. */
	private static final int CRASHES_OF_REQUEST = 2;

	/** The same if its response had begun, as it has for all others on the server. */
	private static final int CRASHES_WITHIN_RESPONSE = 3;

	/**
	 * Crashes closer together than this count once: servers of a rack or group fail
	 * together.
	 */
	static final long SEPARATE_CRASHES_NANOS = 2_000_000_000L;

	/**
	 * Entries send times as ages, which seem later by the delay of the message. A time
	 * that is later by less is taken for the known one; otherwise it would move on each
	 * time that two entries exchange it, until it passes the crashes that followed it.
	 */
	private static final long MAX_NEWS_DELAY_NANOS = 1_000_000_000L;

	/** Time for which a charge without a conviction is kept in preference to new ones. */
	private static final long SUSPICION_NANOS = 600_000_000_000L;

	/** Maximum number of charges. */
	static final int MAX_CHARGES = 128;

	private final Map<String, CrashCharge> charges = new LinkedHashMap<>();

	/** The traits of all charges. */
	private final Set<String> traits = new HashSet<>();

	/** Traits with charges that no response has cleared. */
	private final Set<String> open = new HashSet<>();

	/** When a response last began, by trait of a charge. */
	private final Map<String, Long> begun = new HashMap<>();

	/** When a response was last complete, by trait of a charge. */
	private final Map<String, Long> completed = new HashMap<>();

	/** Refused combinations of traits; a single trait in most cases. */
	private Map<Set<String>, Conviction> convictions = Map.of();

	Collection<CrashCharge> all() {
		return this.charges.values();
	}

	Map<Set<String>, Conviction> convictions() {
		return this.convictions;
	}

	boolean isEmpty() {
		return this.charges.isEmpty();
	}

	boolean contains(CrashCharge charge) {
		return this.charges.containsKey(charge.key());
	}

	boolean hasTrait(String trait) {
		return this.traits.contains(trait);
	}

	/**
	 * Returns whether a trait has charges that no response has cleared.
	 * @param trait the trait
	 * @return {@code true} until {@link #evaluate} finds that it was cleared
	 */
	boolean isOpen(String trait) {
		return this.open.contains(trait);
	}

	Optional<Long> begun(String trait) {
		return Optional.ofNullable(this.begun.get(trait));
	}

	Optional<Long> completed(String trait) {
		return Optional.ofNullable(this.completed.get(trait));
	}

	/**
	 * Adds a charge.
	 * @param charge the charge
	 * @return {@code false} if it is known, or if there is no room for it
	 */
	boolean add(CrashCharge charge) {
		if (this.charges.putIfAbsent(charge.key(), charge) != null) {
			return false;
		}
		if (this.charges.size() > MAX_CHARGES) {
			this.charges.remove(evicted(charge).key());
		}
		updateTraits();
		return contains(charge);
	}

	private void updateTraits() {
		this.traits.clear();
		this.charges.values().forEach((each) -> each.traits().forEach(this.traits::add));
		this.begun.keySet().retainAll(this.traits);
		this.completed.keySet().retainAll(this.traits);
	}

	/**
	 * Removes the charges of crashes before a time.
	 * @param time the time in nanoseconds
	 */
	void removeBefore(long time) {
		if (this.charges.values().removeIf((charge) -> charge.at() - time < 0)) {
			updateTraits();
		}
	}

	private CrashCharge evicted(CrashCharge added) {
		return this.charges.values()
			.stream()
			.filter((charge) -> charge != added && isOutdated(charge, added.at()))
			.findFirst()
			.orElseGet(() -> evictedOfLargestAccount(added));
	}

	private boolean isOutdated(CrashCharge charge, long time) {
		boolean cleared = charge.traits().noneMatch((trait) -> isOpen(charge, trait));
		return cleared || (time - charge.at() > SUSPICION_NANOS && !supportsConviction(charge));
	}

	// An account whose convictions all refuse requests gets no further one, as each
	// evicted one would let a request run that crashes servers.
	private CrashCharge evictedOfLargestAccount(CrashCharge added) {
		Map<String, Integer> counts = new LinkedHashMap<>();
		this.charges.values().forEach((charge) -> counts.merge(charge.account(), 1, Integer::sum));
		String largest = Collections.max(counts.entrySet(), Map.Entry.comparingByValue()).getKey();
		List<CrashCharge> candidates = this.charges.values()
			.stream()
			.filter((charge) -> charge != added && charge.account().equals(largest))
			.toList();
		return candidates.stream()
			// An earlier crash of the same request may become a conviction with this one.
			.filter((charge) -> !charge.fingerprint().equals(added.fingerprint()) && !supportsConviction(charge))
			.findFirst()
			.or(() -> candidates.stream().filter((charge) -> isProbationOver(charge, added.at())).findFirst())
			.orElse(added.account().equals(largest) ? added : candidates.get(0));
	}

	private boolean isProbationOver(CrashCharge charge, long time) {
		return this.convictions.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().stream().allMatch((trait) -> isOpen(charge, trait)))
			.allMatch((entry) -> entry.getValue().until() - time <= 0);
	}

	boolean supportsConviction(CrashCharge charge) {
		return this.convictions.keySet()
			.stream()
			.anyMatch((convicted) -> convicted.stream().allMatch((trait) -> isOpen(charge, trait)));
	}

	// Ignored unless the trait has a charge.
	void recordBegun(String trait, long at) {
		record(this.begun, trait, at);
	}

	// Ignored unless the trait has a charge.
	void recordCompleted(String trait, long at) {
		record(this.completed, trait, at);
	}

	private void record(Map<String, Long> times, String trait, long at) {
		if (this.traits.contains(trait)) {
			times.merge(trait, at, (known, other) -> (other - known > 0) ? other : known);
		}
	}

	/**
	 * Merges times that others have recorded.
	 * @param received when responses last began or were complete, by trait
	 * @param known the times that are known
	 * @return whether any of them moved on
	 */
	static boolean mergeTimes(Map<String, Long> received, Map<String, Long> known) {
		boolean changed = false;
		for (Map.Entry<String, Long> each : received.entrySet()) {
			Long before = known.get(each.getKey());
			if (before == null || each.getValue() - before > MAX_NEWS_DELAY_NANOS) {
				known.put(each.getKey(), each.getValue());
				changed = true;
			}
		}
		return changed;
	}

	boolean mergeBegun(Map<String, Long> received) {
		return mergeTimes(ofCharges(received), this.begun);
	}

	boolean mergeCompleted(Map<String, Long> received) {
		return mergeTimes(ofCharges(received), this.completed);
	}

	private Map<String, Long> ofCharges(Map<String, Long> times) {
		Map<String, Long> relevant = new HashMap<>(times);
		relevant.keySet().retainAll(this.traits);
		return relevant;
	}

	/**
	 * Returns all charges with the times at which their traits were cleared.
	 * @return the evidence
	 */
	PoisonEvidence evidence() {
		return new PoisonEvidence(List.copyOf(this.charges.values()), this.begun, this.completed);
	}

	void clear() {
		this.charges.clear();
		this.traits.clear();
		this.open.clear();
		this.begun.clear();
		this.completed.clear();
		this.convictions = Map.of();
	}

	/**
	 * Derives the convictions from the present charges and times.
	 * @return the convictions before
	 */
	Map<Set<String>, Conviction> evaluate() {
		this.open.clear();
		this.charges.values()
			.forEach((charge) -> charge.traits().filter((trait) -> isOpen(charge, trait)).forEach(this.open::add));
		Map<Set<String>, Conviction> found = new LinkedHashMap<>();
		List<CrashCharge> unexplained = new ArrayList<>(this.charges.values());
		Optional<Count> worst = worst(unexplained);
		while (worst.isPresent()) {
			Count convicted = worst.get();
			found.put(Set.of(convicted.trait()), Conviction.of(convicted.crashes(), convicted.lastCrash()));
			// The other requests on a crashed server were there by chance.
			Set<String> explained = new HashSet<>();
			unexplained.stream()
				.filter((charge) -> isOpen(charge, convicted.trait()))
				.forEach((charge) -> explained.add(charge.incarnation()));
			unexplained.removeIf((charge) -> explained.contains(charge.incarnation()));
			worst = worst(unexplained);
		}
		for (CrashCharge charge : unexplained) {
			Set<String> unknown = new TreeSet<>(charge.sharedParts());
			unknown.removeIf(this.begun::containsKey);
			if (!charge.begun() && !unknown.isEmpty()) {
				found.putIfAbsent(unknown, Conviction.of(1, charge.at()));
			}
		}
		Map<Set<String>, Conviction> before = this.convictions;
		this.convictions = found;
		return before;
	}

	// Returns the trait with the most crashes, if they are enough. Of several, the one
	// that was served least recently is the likeliest, then the most specific part.
	private Optional<Count> worst(List<CrashCharge> unexplained) {
		Map<String, Count> counts = new LinkedHashMap<>();
		for (CrashCharge charge : unexplained) {
			List<String> parts = charge.sharedParts();
			for (int i = 0; i < parts.size(); i++) {
				count(counts, unexplained, parts.get(i), i, CRASHES_OF_NEW_PART);
			}
			count(counts, unexplained, charge.fingerprint(), parts.size(), CRASHES_OF_REQUEST);
		}
		return counts.values()
			.stream()
			.filter((count) -> count.crashes() >= count.needed())
			.max(Comparator.comparingInt(Count::crashes)
				.thenComparing(Comparator.comparingLong(Count::lastBegun).reversed())
				.thenComparingInt(Count::position));
	}

	private void count(Map<String, Count> counts, List<CrashCharge> unexplained, String trait, int position,
			int needed) {
		counts.computeIfAbsent(trait, (key) -> {
			int crashes = 0;
			long last = Long.MIN_VALUE;
			List<CrashCharge> charged = unexplained.stream()
				.filter((charge) -> isOpen(charge, trait))
				.sorted(Comparator.comparingLong(CrashCharge::at))
				.toList();
			for (CrashCharge charge : charged) {
				// A request that began again on another server was sent there after the
				// crash of the first one.
				boolean sentAgain = charge.begun() && charge.fingerprint().equals(trait);
				if (crashes == 0 || sentAgain || charge.at() - last >= SEPARATE_CRASHES_NANOS) {
					crashes++;
					last = charge.at();
				}
			}
			int least = this.begun.containsKey(trait) ? CRASHES_OF_KNOWN_PART : needed;
			boolean within = charged.stream().anyMatch(CrashCharge::begun);
			return new Count(trait, crashes, within ? Math.max(least, CRASHES_WITHIN_RESPONSE) : least,
					this.begun.getOrDefault(trait, Long.MIN_VALUE), position, last);
		});
	}

	// Returns whether no later response has cleared the trait of the crash.
	private boolean isOpen(CrashCharge charge, String trait) {
		boolean untilComplete = charge.begun() || charge.fingerprint().equals(trait);
		Map<String, Long> cleared = untilComplete ? this.completed : this.begun;
		return charge.hasTrait(trait) && cleared.getOrDefault(trait, Long.MIN_VALUE) < charge.at();
	}

	private record Count(String trait, int crashes, int needed, long lastBegun, int position, long lastCrash) {
	}

}
