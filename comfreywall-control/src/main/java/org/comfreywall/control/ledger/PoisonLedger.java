package org.comfreywall.control.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.util.Preconditions;

/**
 * Detects requests that crash backend servers (poison requests): records for each
 * fingerprint the losses of backend servers on which it was in flight, grants suspected
 * fingerprints an isolated run and quarantines those that cause losses.
 * <p>
 * A fingerprint is quarantined once two crashes of backend servers are recorded for it,
 * or once a backend server is lost while it runs in isolation. If the sidecar observed
 * the crash in the isolated run, all losses recorded for the fingerprint are attributed
 * to it: other fingerprints that were in flight at these losses are cleared unless
 * further losses are recorded for them. The ledger is deterministic and its calls are
 * idempotent. Not thread-safe.
 */
public final class PoisonLedger {

	private final PoisonLedgerSettings settings;

	private final DecisionListener listener;

	/** Entries in the order of their last change, at most {@code settings.capacity()}. */
	private final Map<Fingerprint, PoisonEntry> entries = new LinkedHashMap<>();

	private Optional<IsolationSlot> slot = Optional.empty();

	private long logTime;

	private long evictions;

	/**
	 * Creates an empty ledger.
	 * @param settings the limits
	 * @param listener receives a decision record for each change of a verdict and each
	 * isolated run
	 */
	public PoisonLedger(PoisonLedgerSettings settings, DecisionListener listener) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
	}

	/**
	 * Records the loss of a backend server for each fingerprint that was in flight on it.
	 * If the only request in flight ran in isolation, its fingerprint is quarantined.
	 * @param report the loss and the requests that were in flight
	 * @param now the log time in nanoseconds
	 */
	public void recordCrash(CrashReport report, long now) {
		Preconditions.notNull(report, "report");
		advanceTime(now);
		RecordedLoss loss = RecordedLoss.of(report);
		report.inFlight().forEach((fingerprint) -> recordCrash(fingerprint, loss));
		if (report.isolated()) {
			recordLossInIsolation(report.inFlight().get(0), loss.isBackendCrash());
		}
	}

	/**
	 * Requests the slot for isolated runs.
	 * @param fingerprint the suspected fingerprint
	 * @param owner the request that is to run in isolation
	 * @param now the log time in nanoseconds
	 * @return the result; a repeated call of the holder returns the same result but does
	 * not extend the slot
	 */
	public IsolationResult acquire(Fingerprint fingerprint, RequestId owner, long now) {
		Preconditions.notNull(owner, "owner");
		advanceTime(now);
		PoisonVerdict verdict = assess(fingerprint);
		if (verdict == PoisonVerdict.CLEAR) {
			return IsolationResult.NOT_SUSPECTED;
		}
		if (verdict == PoisonVerdict.QUARANTINED) {
			return IsolationResult.QUARANTINED;
		}
		if (this.slot.isPresent()) {
			return this.slot.get().isHeldBy(fingerprint, owner) ? IsolationResult.GRANTED : IsolationResult.WAIT;
		}
		if (this.logTime - this.entries.get(fingerprint).changedAt() < this.settings.settleTime().toNanos()) {
			return IsolationResult.WAIT;
		}
		long expiresAt = this.logTime + this.settings.slotTime().toNanos();
		this.slot = Optional.of(new IsolationSlot(fingerprint, owner, expiresAt));
		recordDecision(fingerprint, "isolated", Field.of("request", owner), Field.of("expires-at-ns", expiresAt));
		return IsolationResult.GRANTED;
	}

	/**
	 * Returns the slot for isolated runs; ignored unless the request holds it.
	 * @param fingerprint the suspected fingerprint
	 * @param owner the request that holds the slot
	 * @param end how the run ended
	 * @param now the log time in nanoseconds
	 */
	public void release(Fingerprint fingerprint, RequestId owner, IsolationEnd end, long now) {
		Preconditions.notNull(end, "end");
		advanceTime(now);
		if (this.slot.isEmpty() || !this.slot.get().isHeldBy(fingerprint, owner)) {
			return;
		}
		this.slot = Optional.empty();
		if (end == IsolationEnd.LOST) {
			recordLossInIsolation(fingerprint, false);
		}
		else if (end == IsolationEnd.SURVIVED && assess(fingerprint) == PoisonVerdict.SUSPECT) {
			this.entries.remove(fingerprint);
			recordDecision(fingerprint, "cleared", Field.of("reason", "survived-isolated-run"));
		}
	}

	/**
	 * Removes a fingerprint and the losses recorded for it, on behalf of an operator.
	 * @param fingerprint the fingerprint
	 * @param now the log time in nanoseconds
	 * @return whether the ledger held the fingerprint
	 */
	public boolean clear(Fingerprint fingerprint, long now) {
		advanceTime(now);
		boolean removed = this.entries.remove(Preconditions.notNull(fingerprint, "fingerprint")) != null;
		if (removed) {
			recordDecision(fingerprint, "cleared", Field.of("reason", "operator"));
		}
		return removed;
	}

	/**
	 * Removes expired entries and quarantines the fingerprint whose slot for isolated
	 * runs has expired. Every other call that takes a log time does so first.
	 * @param now the log time in nanoseconds
	 */
	public void advanceTime(long now) {
		this.logTime = Math.max(this.logTime, now);
		if (this.slot.isPresent() && this.slot.get().expiresAt() <= this.logTime) {
			Fingerprint isolated = this.slot.get().fingerprint();
			this.slot = Optional.empty();
			recordLossInIsolation(isolated, false);
		}
		long cutoff = this.logTime - this.settings.retention().toNanos();
		List<Fingerprint> expired = new ArrayList<>();
		for (PoisonEntry entry : this.entries.values()) {
			if (entry.changedAt() > cutoff) {
				break;
			}
			expired.add(entry.fingerprint());
		}
		expired.forEach(this.entries::remove);
	}

	/**
	 * Returns the verdict on a fingerprint as of the last log time.
	 * @param fingerprint the fingerprint
	 * @return the verdict, clear if the ledger does not hold the fingerprint
	 */
	public PoisonVerdict assess(Fingerprint fingerprint) {
		PoisonEntry entry = this.entries.get(Preconditions.notNull(fingerprint, "fingerprint"));
		return (entry != null) ? entry.verdict() : PoisonVerdict.CLEAR;
	}

	/**
	 * Returns the number of fingerprints evicted before they expired because the ledger
	 * was full.
	 * @return the count since the ledger was created; not part of snapshots
	 */
	public long evictions() {
		return this.evictions;
	}

	/**
	 * Returns a copy of the whole state.
	 * @return the snapshot
	 */
	public PoisonLedgerSnapshot snapshot() {
		return new PoisonLedgerSnapshot(this.logTime, List.copyOf(this.entries.values()), this.slot);
	}

	/**
	 * Replaces the whole state with that of a snapshot.
	 * @param snapshot the snapshot
	 */
	public void restore(PoisonLedgerSnapshot snapshot) {
		this.entries.clear();
		this.logTime = snapshot.logTime();
		this.slot = snapshot.slot();
		snapshot.entries().forEach((entry) -> this.entries.put(entry.fingerprint(), entry));
	}

	private void recordCrash(Fingerprint fingerprint, RecordedLoss loss) {
		PoisonEntry entry = this.entries.get(fingerprint);
		if (entry == null) {
			evictIfFull();
			entry = new PoisonEntry(fingerprint, List.of(), false, this.logTime);
		}
		if (!entry.hasRecorded(loss)) {
			PoisonEntry updated = entry.withLoss(loss, this.logTime);
			putLast(updated);
			recordDecision(fingerprint, updated.verdict().name().toLowerCase(Locale.ROOT),
					Field.of("backend-server", loss.backendServer()), Field.of("incarnation", loss.incarnation()),
					Field.of("crash", loss.crashNumber()));
		}
	}

	// Quarantines a fingerprint after a loss in its isolated run. All its losses are
	// attributed to it only if the backend server crashed: a sidecar may be lost, or a
	// slot expire, for another reason, such as a failure of the instance.
	private void recordLossInIsolation(Fingerprint fingerprint, boolean backendCrashed) {
		PoisonEntry entry = this.entries.get(fingerprint);
		if (entry == null) {
			return;
		}
		if (!entry.lostInIsolation()) {
			putLast(entry.withLossInIsolation(this.logTime));
			recordDecision(fingerprint, "quarantined", Field.of("reason", "lost-in-isolated-run"));
		}
		if (backendCrashed) {
			this.entries.replaceAll((key, other) -> markCauseKnown(other, entry.losses()));
		}
	}

	private PoisonEntry markCauseKnown(PoisonEntry entry, List<RecordedLoss> losses) {
		PoisonEntry updated = entry.withKnownCauseOf(losses);
		if (updated.verdict() != entry.verdict()) {
			recordDecision(entry.fingerprint(), "cleared", Field.of("reason", "losses-explained"));
		}
		return updated;
	}

	private void putLast(PoisonEntry entry) {
		this.entries.remove(entry.fingerprint());
		this.entries.put(entry.fingerprint(), entry);
	}

	// Evicts the entry that was changed the longest time ago, a quarantined one only if
	// all are.
	private void evictIfFull() {
		if (this.entries.size() < this.settings.capacity()) {
			return;
		}
		PoisonEntry oldest = this.entries.values()
			.stream()
			.filter((entry) -> entry.verdict() != PoisonVerdict.QUARANTINED)
			.findFirst()
			.orElseGet(() -> this.entries.values().iterator().next());
		this.entries.remove(oldest.fingerprint());
		this.evictions++;
	}

	private void recordDecision(Fingerprint fingerprint, String result, Field... inputs) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.QUARANTINE, fingerprint.toString(), result, inputs));
	}

}
