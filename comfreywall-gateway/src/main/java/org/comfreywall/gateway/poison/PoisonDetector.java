package org.comfreywall.gateway.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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
 * Entries exchange their evidence and each derives the same refusals from it. The fleet
 * stores it ({@link PoisonEvidenceLedger}), so that an entry that starts derives them
 * too. After a probation period one entry, the same for all, lets a single request pass.
 * Not thread-safe.
 */
public final class PoisonDetector {

	private static final EventLog LOG = EventLog.of(PoisonDetector.class);

	/**
	 * Time in which a broken connection is confirmed as a crash by the restart of the
	 * server or by its peers.
	 */
	static final long CONFIRMATION_NANOS = 10_000_000_000L;

	/** Time for a single request to begin its response after a probation. */
	private static final Duration TRIAL_TIME = Duration.ofSeconds(10);

	/** A crash breaks off all requests on its server. */
	private static final int MAX_PENDING = 256;

	private static final int MAX_TRAITS = 20_000;

	/** Maximum number of charges, and of times, to store at once. */
	private static final int MAX_STORED_AT_ONCE = 32;

	private final Predicate<String> runsTrial;

	/** When a response last began, by part. */
	private final Map<String, Long> begun = new LruMap<>(MAX_TRAITS);

	/**
	 * When a response was last complete, by trait; parts only, unless a request may be
	 * charged.
	 */
	private final Map<String, Long> completed = new LruMap<>(MAX_TRAITS);

	private final List<CrashCharge> pending = new ArrayList<>();

	private final CrashCharges charges = new CrashCharges();

	private final Map<String, CrashCharge> unsentCharges = new LinkedHashMap<>();

	private final Set<String> unsentTraits = new HashSet<>();

	/** Own observations that the fleet has not stored yet. */
	private final Map<String, CrashCharge> unstoredCharges = new LinkedHashMap<>();

	private final Set<String> unstoredTraits = new HashSet<>();

	/** Keys of the pending charges that the fleet has stored. */
	private final Set<String> storedPending = new HashSet<>();

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
		traits.sharedParts().forEach((part) -> {
			this.begun.put(part, now);
			this.charges.recordBegun(part, now);
		});
		shareCleared(traits.sharedParts());
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
		List<String> all = new ArrayList<>(traits.sharedParts());
		all.add(traits.fingerprint().get());
		all.forEach((trait) -> this.charges.recordCompleted(trait, now));
		shareCleared(all);
	}

	private void shareCleared(Collection<String> traits) {
		if (this.charges.isEmpty()) {
			return;
		}
		List<String> open = traits.stream().filter(this.charges::isOpen).toList();
		if (!open.isEmpty()) {
			open.forEach(this::share);
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
		removePending((old) -> now - old.at() > CONFIRMATION_NANOS);
		if (this.pending.size() < MAX_PENDING) {
			this.pending.add(new CrashCharge(CrashCharge.incarnation(server, startedMillis), request,
					traits.sharedParts(), traits.fingerprint().get(), begun, now, traits.account().get())
				.bounded());
		}
	}

	private void removePending(Predicate<CrashCharge> condition) {
		this.pending.removeIf(condition);
		this.storedPending.retainAll(this.pending.stream().map(CrashCharge::key).collect(Collectors.toSet()));
	}

	/**
	 * Records that a backend server crashed or was restarted.
	 * @param server the address of the server
	 * @param startedMillis incarnations that started before this time have ended
	 * @param now the current time in nanoseconds
	 */
	public void recordCrash(String server, long startedMillis, long now) {
		List<CrashCharge> ended = this.pending.stream()
			.filter((each) -> each.isEndedBy(server, startedMillis))
			.toList();
		if (ended.isEmpty()) {
			return;
		}
		removePending(ended::contains);
		boolean added = false;
		for (CrashCharge each : ended) {
			if (now - each.at() <= CONFIRMATION_NANOS) {
				added |= add(each);
				this.unsentCharges.put(each.key(), each);
				this.unstoredCharges.put(each.key(), each);
				each.traits().forEach(this::share);
			}
		}
		if (added) {
			evaluate();
		}
	}

	private boolean add(CrashCharge charge) {
		if (this.charges.contains(charge)) {
			return false;
		}
		boolean added = this.charges.add(charge);
		charge.traits().forEach((trait) -> {
			Optional.ofNullable(this.begun.get(trait)).ifPresent((at) -> this.charges.recordBegun(trait, at));
			Optional.ofNullable(this.completed.get(trait)).ifPresent((at) -> this.charges.recordCompleted(trait, at));
		});
		LOG.info("crash-charged", Field.of("request", charge.request()), Field.of("incarnation", charge.incarnation()),
				Field.of("begun", charge.begun()), Field.of("parts", charge.sharedParts()),
				Field.of("fingerprint", charge.fingerprint()), Field.of("kept", added));
		return added;
	}

	/**
	 * Applies the evidence of another entry, or what the fleet has stored.
	 * @param evidence the evidence
	 */
	public void merge(PoisonEvidence evidence) {
		boolean changed = false;
		for (CrashCharge charge : evidence.charges()) {
			if (add(charge.bounded())) {
				changed = true;
				// Only this entry may know that requests with these parts were served.
				charge.traits()
					.filter((trait) -> this.begun.containsKey(trait) || this.completed.containsKey(trait))
					.forEach(this::share);
			}
		}
		CrashCharges.mergeTimes(evidence.begun(), this.begun);
		CrashCharges.mergeTimes(evidence.completed(), this.completed);
		changed |= this.charges.mergeBegun(evidence.begun()) | this.charges.mergeCompleted(evidence.completed());
		evidence.unconfirmed().forEach(this::addUnconfirmed);
		if (changed) {
			evaluate();
		}
	}

	private void addUnconfirmed(CrashCharge charge) {
		boolean known = this.charges.contains(charge)
				|| this.pending.stream().anyMatch((each) -> each.key().equals(charge.key()));
		if (!known && this.pending.size() < MAX_PENDING) {
			this.pending.add(charge);
			this.storedPending.add(charge.key());
		}
	}

	/**
	 * Returns the evidence that other entries do not have yet.
	 * @param full whether to add the evidence that refusals are based on, for entries
	 * that have missed it
	 * @return the evidence
	 */
	public PoisonEvidence takeEvidence(boolean full) {
		if (full) {
			this.charges.all().stream().filter(this.charges::supportsConviction).forEach((charge) -> {
				this.unsentCharges.put(charge.key(), charge);
				charge.traits().forEach(this.unsentTraits::add);
			});
		}
		PoisonEvidence unsent = new PoisonEvidence(List.copyOf(this.unsentCharges.values()),
				timesBegun(this.unsentTraits), timesCompleted(this.unsentTraits));
		this.unsentCharges.clear();
		this.unsentTraits.clear();
		return unsent.isEmpty() ? PoisonEvidence.NONE : unsent;
	}

	// Marks what this entry knows of a trait as new to the others and to the fleet.
	private void share(String trait) {
		this.unsentTraits.add(trait);
		this.unstoredTraits.add(trait);
	}

	private Map<String, Long> timesBegun(Collection<String> traits) {
		return times(traits, this.charges::begun);
	}

	private Map<String, Long> timesCompleted(Collection<String> traits) {
		return times(traits, this.charges::completed);
	}

	private static Map<String, Long> times(Collection<String> traits, Function<String, Optional<Long>> known) {
		Map<String, Long> times = new HashMap<>();
		traits.forEach((trait) -> known.apply(trait).ifPresent((at) -> times.put(trait, at)));
		return times;
	}

	/**
	 * Returns observations of this entry that the fleet has yet to store: charges, what
	 * cleared their traits, and requests that broke several connections, even if no crash
	 * has been confirmed. If there are many, a part of them. Returns the same again only
	 * after {@link #recordNotStored}.
	 * @return the evidence
	 */
	public PoisonEvidence takeUnstored() {
		List<CrashCharge> charged = this.unstoredCharges.values().stream().limit(MAX_STORED_AT_ONCE).toList();
		charged.forEach((charge) -> this.unstoredCharges.remove(charge.key()));
		Set<String> traits = this.unstoredTraits.stream().limit(MAX_STORED_AT_ONCE).collect(Collectors.toSet());
		charged.stream().flatMap(CrashCharge::traits).forEach(traits::add);
		this.unstoredTraits.removeAll(traits);
		List<CrashCharge> unconfirmed = this.pending.stream()
			.filter((charge) -> !this.storedPending.contains(charge.key()) && isRepeated(charge))
			.limit(MAX_STORED_AT_ONCE)
			.toList();
		unconfirmed.forEach((charge) -> this.storedPending.add(charge.key()));
		return new PoisonEvidence(charged, timesBegun(traits), timesCompleted(traits), unconfirmed);
	}

	// Connections often break without a crash, but seldom twice for the same request.
	private boolean isRepeated(CrashCharge charge) {
		return Stream.concat(this.pending.stream(), this.charges.all().stream())
			.anyMatch((other) -> other.fingerprint().equals(charge.fingerprint())
					&& !other.incarnation().equals(charge.incarnation()));
	}

	/**
	 * Records that the fleet may not have stored observations of this entry.
	 * @param taken what {@link #takeUnstored} has returned
	 */
	public void recordNotStored(PoisonEvidence taken) {
		taken.charges().forEach((charge) -> this.unstoredCharges.put(charge.key(), charge));
		taken.unconfirmed().forEach((charge) -> this.storedPending.remove(charge.key()));
		this.unstoredTraits.addAll(taken.begun().keySet());
		this.unstoredTraits.addAll(taken.completed().keySet());
	}

	/**
	 * Returns the number of charges and of traits whose observations are to be stored.
	 * @return the count
	 */
	public int unstoredCount() {
		return this.unstoredCharges.size() + this.unstoredTraits.size();
	}

	/**
	 * Returns the number of combinations of traits that are refused.
	 * @return the count
	 */
	public int convictionCount() {
		return this.charges.convictions().size();
	}

	/**
	 * Returns whether requests are refused until the end of a probation.
	 * @param now the current time in nanoseconds
	 * @return {@code false} if there are no refusals, or if all wait for a trial
	 */
	public boolean isProbationRunning(long now) {
		return this.charges.convictions().values().stream().anyMatch((conviction) -> now < conviction.until());
	}

	/**
	 * Decides whether a request may be sent to a backend server.
	 * @param traits the traits of the request
	 * @param request the request's identifier at this entry
	 * @param now the current time in nanoseconds
	 * @return the refusal, or empty if it may be sent
	 */
	public Optional<PoisonRefusal> check(RequestTraits traits, long request, long now) {
		Map<Set<String>, Conviction> convictions = this.charges.convictions();
		if (convictions.isEmpty()) {
			return Optional.empty();
		}
		Set<String> held = new HashSet<>(traits.sharedParts());
		held.add(traits.fingerprint().get());
		return convictions.entrySet()
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
		Map<Set<String>, Conviction> before = this.charges.evaluate();
		Map<Set<String>, Conviction> found = this.charges.convictions();
		found.forEach((traits, conviction) -> {
			if (!conviction.equals(before.get(traits))) {
				LOG.warn("poison-convicted", Field.of("traits", traits), Field.of("crashes", conviction.crashes()),
						Field.of("probation-s", conviction.probation().toSeconds()));
			}
		});
		before.keySet()
			.stream()
			.filter((traits) -> !found.containsKey(traits))
			.forEach((traits) -> LOG.info("poison-cleared", Field.of("traits", traits)));
		this.trials.keySet().retainAll(found.keySet());
		this.unstoredCharges.values().removeIf((charge) -> !this.charges.contains(charge));
		this.unstoredTraits.removeIf((trait) -> !this.charges.hasTrait(trait));
	}

	private record Trial(long request, long until) {
	}

}
