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
 * Remembers which requests were in flight when backend servers were lost, and decides
 * which of them may run isolated and which are quarantined.
 * <p>
 * A fingerprint is quarantined once two crashes of backend servers are charged to it, or
 * once a backend server is lost while it runs isolated. If its sidecar saw the backend
 * server crash, the conviction explains the losses charged to it, which clears the
 * fingerprints that were in flight beside it and are charged with nothing else. The
 * ledger is deterministic, and applying a call twice has the effect of applying it once.
 * Not thread-safe.
 */
public final class PoisonLedger {

	private final PoisonLedgerSettings settings;

	private final DecisionListener listener;

	/** Fingerprints in the order of their last charge; at most the capacity. */
	private final Map<Fingerprint, PoisonEntry> entries = new LinkedHashMap<>();

	private Optional<IsolationSlot> slot = Optional.empty();

	private long logTime;

	private long evicted;

	/**
	 * Creates an empty ledger.
	 * @param settings the bounds
	 * @param listener receives a record of each verdict that changes
	 */
	public PoisonLedger(PoisonLedgerSettings settings, DecisionListener listener) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
	}

	/**
	 * Charges the loss of a backend server to the requests that were in flight on it.
	 * @param report the loss
	 * @param now the log time in nanoseconds
	 */
	public void charge(CrashReport report, long now) {
		Preconditions.notNull(report, "report");
		advance(now);
		CrashCharge charge = CrashCharge.of(report);
		report.inFlight().forEach((fingerprint) -> charge(fingerprint, charge));
		if (report.isolated()) {
			convict(report.inFlight().get(0), charge.isBackendCrash());
		}
	}

	/**
	 * Asks for the slot for an isolated run.
	 * @param fingerprint the suspect
	 * @param owner the request that would run it
	 * @param now the log time in nanoseconds
	 * @return the result; asking again while holding the slot is granted again without
	 * extending it
	 */
	public IsolationResult acquire(Fingerprint fingerprint, RequestId owner, long now) {
		Preconditions.notNull(owner, "owner");
		advance(now);
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
		record(fingerprint, "isolated", Field.of("request", owner), Field.of("expires-at-ns", expiresAt));
		return IsolationResult.GRANTED;
	}

	/**
	 * Gives the slot for isolated runs back; has no effect unless the request holds it.
	 * @param fingerprint the suspect
	 * @param owner the request that ran it
	 * @param end how the run ended
	 * @param now the log time in nanoseconds
	 */
	public void release(Fingerprint fingerprint, RequestId owner, IsolationEnd end, long now) {
		Preconditions.notNull(end, "end");
		advance(now);
		if (this.slot.isEmpty() || !this.slot.get().isHeldBy(fingerprint, owner)) {
			return;
		}
		this.slot = Optional.empty();
		if (end == IsolationEnd.LOST) {
			convict(fingerprint, false);
		}
		else if (end == IsolationEnd.SURVIVED && assess(fingerprint) == PoisonVerdict.SUSPECT) {
			this.entries.remove(fingerprint);
			record(fingerprint, "cleared", Field.of("reason", "survived-isolated-run"));
		}
	}

	/**
	 * Forgets a fingerprint on an operator's order.
	 * @param fingerprint the fingerprint
	 * @param now the log time in nanoseconds
	 * @return whether the fingerprint was known
	 */
	public boolean clear(Fingerprint fingerprint, long now) {
		advance(now);
		boolean known = this.entries.remove(Preconditions.notNull(fingerprint, "fingerprint")) != null;
		if (known) {
			record(fingerprint, "cleared", Field.of("reason", "operator"));
		}
		return known;
	}

	/**
	 * Forgets what is past its time; called by every other change as well.
	 * @param now the log time in nanoseconds
	 */
	public void advance(long now) {
		this.logTime = Math.max(this.logTime, now);
		if (this.slot.isPresent() && this.slot.get().expiresAt() <= this.logTime) {
			Fingerprint lost = this.slot.get().fingerprint();
			this.slot = Optional.empty();
			convict(lost, false);
		}
		long bound = this.logTime - this.settings.retention().toNanos();
		List<Fingerprint> expired = new ArrayList<>();
		for (PoisonEntry entry : this.entries.values()) {
			if (entry.changedAt() > bound) {
				break;
			}
			expired.add(entry.fingerprint());
		}
		expired.forEach(this.entries::remove);
	}

	/**
	 * Returns what is known about a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return the verdict
	 */
	public PoisonVerdict assess(Fingerprint fingerprint) {
		PoisonEntry entry = this.entries.get(Preconditions.notNull(fingerprint, "fingerprint"));
		return (entry != null) ? entry.verdict() : PoisonVerdict.CLEAR;
	}

	/**
	 * Returns the number of fingerprints forgotten early because the ledger was full.
	 * @return the count since the ledger was created
	 */
	public long evicted() {
		return this.evicted;
	}

	/**
	 * Returns the whole content.
	 * @return the snapshot
	 */
	public PoisonLedgerSnapshot snapshot() {
		return new PoisonLedgerSnapshot(this.logTime, List.copyOf(this.entries.values()), this.slot);
	}

	/**
	 * Replaces the whole content by that of a snapshot.
	 * @param snapshot the snapshot
	 */
	public void restore(PoisonLedgerSnapshot snapshot) {
		this.entries.clear();
		this.logTime = snapshot.logTime();
		this.slot = snapshot.slot();
		snapshot.entries().forEach((entry) -> this.entries.put(entry.fingerprint(), entry));
	}

	private void charge(Fingerprint fingerprint, CrashCharge charge) {
		PoisonEntry entry = this.entries.get(fingerprint);
		if (entry == null) {
			makeRoom();
			entry = new PoisonEntry(fingerprint, List.of(), false, this.logTime);
		}
		if (!entry.knows(charge)) {
			PoisonEntry charged = entry.charge(charge, this.logTime);
			put(charged);
			record(fingerprint, charged.verdict().name().toLowerCase(Locale.ROOT),
					Field.of("backend-server", charge.backendServer()), Field.of("incarnation", charge.incarnation()),
					Field.of("crash", charge.crash()));
		}
	}

	private void convict(Fingerprint fingerprint, boolean explains) {
		PoisonEntry entry = this.entries.get(fingerprint);
		if (entry == null) {
			return;
		}
		if (!entry.convicted()) {
			put(entry.convict(this.logTime));
			record(fingerprint, "quarantined", Field.of("reason", "lost-in-isolated-run"));
		}
		if (explains) {
			this.entries.replaceAll((other, innocent) -> explain(innocent, entry.charges()));
		}
	}

	private PoisonEntry explain(PoisonEntry entry, List<CrashCharge> losses) {
		PoisonEntry explained = entry.explain(losses);
		if (explained.verdict() != entry.verdict()) {
			record(entry.fingerprint(), "cleared", Field.of("reason", "losses-explained"));
		}
		return explained;
	}

	private void put(PoisonEntry entry) {
		this.entries.remove(entry.fingerprint());
		this.entries.put(entry.fingerprint(), entry);
	}

	private void makeRoom() {
		if (this.entries.size() < this.settings.capacity()) {
			return;
		}
		PoisonEntry victim = this.entries.values()
			.stream()
			.filter((entry) -> entry.verdict() != PoisonVerdict.QUARANTINED)
			.findFirst()
			.orElseGet(() -> this.entries.values().iterator().next());
		this.entries.remove(victim.fingerprint());
		this.evicted++;
	}

	private void record(Fingerprint fingerprint, String result, Field... inputs) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.QUARANTINE, fingerprint.toString(), result, inputs));
	}

}
