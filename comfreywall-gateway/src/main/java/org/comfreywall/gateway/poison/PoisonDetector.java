package org.comfreywall.gateway.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.util.LruMap;
import org.comfreywall.common.util.Preconditions;

/**
 * Detects which requests crash the backend servers that run them, by a part of the prompt
 * or as a whole, and refuses further ones.
 * <p>
 * A server may crash when the response to such a request begins or at any time before it
 * ends. A crash before the response began is charged to the request until the response to
 * any request with the same part begins; a crash within the response, and any crash of a
 * whole request, until such a response is complete. One crash before the response is
 * enough for a part that has never been in a request whose response began, as long as the
 * request has no other such part; parts that have been served before, and requests whose
 * responses had begun, need several crashes, as they may have been in flight by chance.
 * <p>
 * Entries exchange their evidence and each derives the same refusals from it. After a
 * probation period one entry, the same for all, lets a single request pass. Not
 * thread-safe.
 */
public final class PoisonDetector {

	private static final EventLog LOG = EventLog.of(PoisonDetector.class);

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
	private static final long SEPARATE_CRASHES_NANOS = 2_000_000_000L;

	/**
	 * Time in which a broken connection is confirmed as a crash by the restart of the
	 * server or by its peers.
	 */
	private static final long CONFIRMATION_NANOS = 10_000_000_000L;

	/**
	 * Entries send times as ages, which seem later by the delay of the message. A time
	 * that is later by less is taken for the known one; otherwise it would move on each
	 * time that two entries exchange it, until it passes the crashes that followed it.
	 */
	private static final long MAX_NEWS_DELAY_NANOS = 1_000_000_000L;

	/** Time for a single request to begin its response after a probation. */
	private static final Duration TRIAL_TIME = Duration.ofSeconds(10);

	private static final int MAX_CHARGES = 128;

	/** A crash breaks off all requests on its server. */
	private static final int MAX_PENDING = 256;

	private static final int MAX_TRAITS = 20_000;

	private final Predicate<String> runsTrial;

	/** When a response last began, by part. */
	private final Map<String, Long> begun = new LruMap<>(MAX_TRAITS);

	/**
	 * When a response was last complete, by trait; parts only, unless a request may be
	 * charged.
	 */
	private final Map<String, Long> completed = new LruMap<>(MAX_TRAITS);

	private final List<PendingCharge> pending = new ArrayList<>();

	private final Map<String, CrashCharge> charges = new LinkedHashMap<>();

	/** Traits with charges that no response has cleared. */
	private final Set<String> chargedTraits = new HashSet<>();

	private final Map<String, CrashCharge> unsentCharges = new LinkedHashMap<>();

	private final Map<String, Long> unsentBegun = new HashMap<>();

	private final Map<String, Long> unsentCompleted = new HashMap<>();

	/** Refused combinations of traits; a single trait in most cases. */
	private Map<Set<String>, Conviction> convictions = Map.of();

	private final Map<Set<String>, Trial> trials = new HashMap<>();

	/**
	 * Creates a detector without evidence.
	 * @param runsTrial whether this entry lets a single request with a trait pass after
	 * its probation; true at one entry
	 */
	public PoisonDetector(Predicate<String> runsTrial) {
		this.runsTrial = Preconditions.notNull(runsTrial, "runsTrial");
	}

	/**
	 * Records that the response to a request began.
	 * @param traits the traits of the request
	 * @param now the current time in nanoseconds
	 */
	public void recordBegun(RequestTraits traits, long now) {
		traits.sharedParts().forEach((part) -> this.begun.put(part, now));
		List<String> charged = new ArrayList<>(traits.sharedParts());
		charged.retainAll(this.chargedTraits);
		if (!charged.isEmpty()) {
			charged.forEach(this::share);
			evaluate();
		}
	}

	/**
	 * Records that the response to a request was complete.
	 * @param traits the traits of the request
	 * @param now the current time in nanoseconds
	 */
	public void recordCompleted(RequestTraits traits, long now) {
		traits.sharedParts().forEach((part) -> this.completed.put(part, now));
		if (this.charges.isEmpty() && this.pending.isEmpty()) {
			return;
		}
		this.completed.put(traits.fingerprint().get(), now);
		List<String> charged = new ArrayList<>(traits.sharedParts());
		charged.add(traits.fingerprint().get());
		charged.retainAll(this.chargedTraits);
		if (!charged.isEmpty()) {
			charged.forEach(this::share);
			evaluate();
		}
	}

	/**
	 * Records that a connection broke before the response to a request was complete. It
	 * is charged if the server turns out to have crashed.
	 * @param server the address of the server
	 * @param startedMillis the start of the server's incarnation
	 * @param request the request's identifier
	 * @param traits the traits of the request
	 * @param begun whether its response had begun
	 * @param now the current time in nanoseconds
	 */
	public void recordBroken(String server, long startedMillis, String request, RequestTraits traits, boolean begun,
			long now) {
		this.pending.removeIf((old) -> now - old.charge().at() > CONFIRMATION_NANOS);
		if (this.pending.size() < MAX_PENDING) {
			this.pending.add(new PendingCharge(server, startedMillis, new CrashCharge(server + "@" + startedMillis,
					request, traits.sharedParts(), traits.fingerprint().get(), begun, now)));
		}
	}

	/**
	 * Records that a backend server crashed or was restarted.
	 * @param server the address of the server
	 * @param startedMillis incarnations that started before this time have ended
	 * @param now the current time in nanoseconds
	 */
	public void recordCrash(String server, long startedMillis, long now) {
		Iterator<PendingCharge> all = this.pending.iterator();
		boolean added = false;
		while (all.hasNext()) {
			PendingCharge each = all.next();
			boolean confirmed = each.server().equals(server) && each.startedMillis() < startedMillis;
			if (confirmed && now - each.charge().at() <= CONFIRMATION_NANOS) {
				added |= add(each.charge());
				this.unsentCharges.put(key(each.charge()), each.charge());
				shareTraits(each.charge());
			}
			if (confirmed) {
				all.remove();
			}
		}
		if (added) {
			evaluate();
		}
	}

	private boolean add(CrashCharge charge) {
		if (this.charges.putIfAbsent(key(charge), charge) != null) {
			return false;
		}
		if (this.charges.size() > MAX_CHARGES) {
			Iterator<CrashCharge> oldest = this.charges.values().iterator();
			CrashCharge evicted = oldest.next();
			while (supportsConviction(evicted) && oldest.hasNext()) {
				evicted = oldest.next();
			}
			this.charges.remove(key(evicted));
		}
		LOG.info("crash-charged", Field.of("request", charge.request()), Field.of("incarnation", charge.incarnation()),
				Field.of("begun", charge.begun()), Field.of("parts", charge.sharedParts()),
				Field.of("fingerprint", charge.fingerprint()));
		return true;
	}

	private boolean supportsConviction(CrashCharge charge) {
		return this.convictions.keySet()
			.stream()
			.anyMatch((traits) -> traits.stream().allMatch((trait) -> isOpen(charge, trait)));
	}

	private static String key(CrashCharge charge) {
		return charge.incarnation() + " " + charge.request();
	}

	/**
	 * Applies the evidence of another entry.
	 * @param evidence the evidence
	 */
	public void merge(PoisonEvidence evidence) {
		boolean changed = merge(evidence.begun(), this.begun) | merge(evidence.completed(), this.completed);
		for (CrashCharge charge : evidence.charges()) {
			if (add(charge)) {
				changed = true;
				// Only this entry may know that requests with these parts were served.
				shareTraits(charge);
			}
		}
		if (changed) {
			evaluate();
		}
	}

	private static boolean merge(Map<String, Long> received, Map<String, Long> known) {
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

	/**
	 * Returns the evidence that other entries do not have yet.
	 * @param full whether to add the evidence that refusals are based on, for entries
	 * that have missed it
	 * @return the evidence
	 */
	public PoisonEvidence takeEvidence(boolean full) {
		if (full) {
			this.charges.values().stream().filter(this::supportsConviction).forEach((charge) -> {
				this.unsentCharges.put(key(charge), charge);
				shareTraits(charge);
			});
		}
		if (this.unsentCharges.isEmpty() && this.unsentBegun.isEmpty() && this.unsentCompleted.isEmpty()) {
			return PoisonEvidence.NONE;
		}
		PoisonEvidence unsent = new PoisonEvidence(List.copyOf(this.unsentCharges.values()), this.unsentBegun,
				this.unsentCompleted);
		this.unsentCharges.clear();
		this.unsentBegun.clear();
		this.unsentCompleted.clear();
		return unsent;
	}

	private void shareTraits(CrashCharge charge) {
		charge.sharedParts().forEach(this::share);
		share(charge.fingerprint());
	}

	private void share(String trait) {
		Optional.ofNullable(this.begun.get(trait)).ifPresent((at) -> this.unsentBegun.put(trait, at));
		Optional.ofNullable(this.completed.get(trait)).ifPresent((at) -> this.unsentCompleted.put(trait, at));
	}

	/**
	 * Decides whether a request may be sent to a backend server.
	 * @param traits the traits of the request
	 * @param request the request's identifier at this entry
	 * @param now the current time in nanoseconds
	 * @return the refusal, or empty if it may be sent
	 */
	public Optional<PoisonRefusal> check(RequestTraits traits, long request, long now) {
		if (this.convictions.isEmpty()) {
			return Optional.empty();
		}
		Set<String> held = new HashSet<>(traits.sharedParts());
		held.add(traits.fingerprint().get());
		return this.convictions.entrySet()
			.stream()
			.filter((entry) -> held.containsAll(entry.getKey()))
			.filter((entry) -> !isTrial(entry.getKey(), entry.getValue(), request, now))
			.findFirst()
			.map((entry) -> refusal(entry.getKey(), entry.getValue(), now));
	}

	private PoisonRefusal refusal(Set<String> traits, Conviction conviction, long now) {
		long wait = Math.max(TRIAL_TIME.toNanos(), conviction.until() - now);
		return new PoisonRefusal(String.join("+", traits), conviction.crashes(), Duration.ofNanos(wait));
	}

	private boolean isTrial(Set<String> traits, Conviction conviction, long request, long now) {
		Trial running = this.trials.get(traits);
		if (running != null && now < running.until()) {
			return running.request() == request;
		}
		if (now < conviction.until() || !this.runsTrial.test(String.join("+", traits))) {
			return false;
		}
		this.trials.put(traits, new Trial(request, now + TRIAL_TIME.toNanos()));
		LOG.info("poison-trial", Field.of("traits", traits), Field.of("crashes", conviction.crashes()));
		return true;
	}

	private void evaluate() {
		this.chargedTraits.clear();
		this.charges.values().forEach((charge) -> {
			List<String> traits = new ArrayList<>(charge.sharedParts());
			traits.add(charge.fingerprint());
			traits.stream().filter((trait) -> isOpen(charge, trait)).forEach(this.chargedTraits::add);
		});
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
		logChanges(found);
		this.trials.keySet().retainAll(found.keySet());
		this.convictions = found;
	}

	private void logChanges(Map<Set<String>, Conviction> found) {
		found.forEach((traits, conviction) -> {
			if (!conviction.equals(this.convictions.get(traits))) {
				LOG.warn("poison-convicted", Field.of("traits", traits), Field.of("crashes", conviction.crashes()),
						Field.of("probation-s", conviction.probation().toSeconds()));
			}
		});
		this.convictions.keySet()
			.stream()
			.filter((traits) -> !found.containsKey(traits))
			.forEach((traits) -> LOG.info("poison-cleared", Field.of("traits", traits)));
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
			List<CrashCharge> open = unexplained.stream()
				.filter((charge) -> isOpen(charge, trait))
				.sorted(Comparator.comparingLong(CrashCharge::at))
				.toList();
			for (CrashCharge charge : open) {
				// A request that began again on another server was sent there after the
				// crash of the first one.
				boolean sentAgain = charge.begun() && charge.fingerprint().equals(trait);
				if (crashes == 0 || sentAgain || charge.at() - last >= SEPARATE_CRASHES_NANOS) {
					crashes++;
					last = charge.at();
				}
			}
			int least = this.begun.containsKey(trait) ? CRASHES_OF_KNOWN_PART : needed;
			boolean begun = open.stream().anyMatch(CrashCharge::begun);
			return new Count(trait, crashes, begun ? Math.max(least, CRASHES_WITHIN_RESPONSE) : least,
					this.begun.getOrDefault(trait, Long.MIN_VALUE), position, last);
		});
	}

	// Returns whether no later response has cleared the trait of the crash.
	private boolean isOpen(CrashCharge charge, String trait) {
		boolean untilComplete = charge.begun() || charge.fingerprint().equals(trait);
		Map<String, Long> cleared = untilComplete ? this.completed : this.begun;
		return charge.hasTrait(trait) && cleared.getOrDefault(trait, Long.MIN_VALUE) < charge.at();
	}

	private record PendingCharge(String server, long startedMillis, CrashCharge charge) {
	}

	private record Trial(long request, long until) {
	}

	private record Count(String trait, int crashes, int needed, long lastBegun, int position, long lastCrash) {
	}

}
