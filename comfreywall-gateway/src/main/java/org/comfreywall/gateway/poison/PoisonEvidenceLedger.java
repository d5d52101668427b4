package org.comfreywall.gateway.poison;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.Ledger;
import org.comfreywall.control.state.LogTime;
import org.comfreywall.transport.generated.PoisonEvidenceRecord;

/**
 * Stores the evidence against requests that crash backend servers, so that it outlasts
 * the processes that have observed it.
 * <p>
 * The ledger decides on no request: each {@link PoisonDetector} derives its refusals from
 * the evidence, and both keep the same charges ({@link CrashCharges}). All times are log
 * times, which go on after a restart where the last command has left them. Commands and
 * the state are encoded by {@link PoisonEvidenceCodec}. At most
 * {@value CrashCharges#MAX_CHARGES} charges and {@value #MAX_UNCONFIRMED} unconfirmed
 * ones of bounded size are kept.
 */
public final class PoisonEvidenceLedger implements Ledger {

	/** The ledger's name. */
	public static final String NAME = "poison-evidence";

	/** Maximum number of unconfirmed crashes. */
	static final int MAX_UNCONFIRMED = 64;

	/** Much longer than any probation. */
	private static final long RETENTION_NANOS = Duration.ofDays(14).toNanos();

	private final CrashCharges charges = new CrashCharges();

	private final Map<String, CrashCharge> unconfirmed = new LinkedHashMap<>();

	private long timeMillis;

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		Optional<PoisonEvidenceRecord> decoded = PoisonEvidenceCodec.parse(command);
		this.timeMillis = Math.max(this.timeMillis, time.millis());
		decoded.ifPresent(this::store);
		return decoded.isPresent() ? encode(PoisonEvidence.NONE) : Bytes.EMPTY;
	}

	private void store(PoisonEvidenceRecord command) {
		long now = PoisonEvidenceCodec.nanos(this.timeMillis);
		// A process that estimates a later log time must not move crashes to the future.
		long sentAt = Math.min(now, PoisonEvidenceCodec.nanos(command.getLogTimeMillis()));
		PoisonEvidence received = PoisonEvidenceCodec.decode(command, sentAt);
		received.charges().forEach((charge) -> {
			this.charges.add(charge.bounded());
			this.unconfirmed.remove(charge.key());
		});
		this.charges.mergeBegun(received.begun());
		this.charges.mergeCompleted(received.completed());
		received.unconfirmed().stream().map(CrashCharge::bounded).forEach(this::addUnconfirmed);
		this.unconfirmed.values().removeIf((each) -> now - each.at() > PoisonDetector.CONFIRMATION_NANOS);
		this.charges.removeBefore(now - RETENTION_NANOS);
		this.charges.evaluate();
	}

	private void addUnconfirmed(CrashCharge charge) {
		if (!this.charges.contains(charge) && this.unconfirmed.putIfAbsent(charge.key(), charge) == null
				&& this.unconfirmed.size() > MAX_UNCONFIRMED) {
			this.unconfirmed.remove(this.unconfirmed.keySet().iterator().next());
		}
	}

	private PoisonEvidence evidence() {
		PoisonEvidence charged = this.charges.evidence();
		return new PoisonEvidence(charged.charges(), charged.begun(), charged.completed(),
				List.copyOf(this.unconfirmed.values()));
	}

	private Bytes encode(PoisonEvidence evidence) {
		return PoisonEvidenceCodec.store(evidence, this.timeMillis);
	}

	@Override
	public Bytes query(Bytes query) {
		return encode(evidence());
	}

	// Without evidence, the snapshot is readable for versions without this ledger.
	@Override
	public Bytes snapshot() {
		PoisonEvidence all = evidence();
		return all.isEmpty() ? Bytes.EMPTY : encode(all);
	}

	@Override
	public void restore(Bytes snapshot) {
		StoredPoisonEvidence stored = snapshot.equals(Bytes.EMPTY) ? new StoredPoisonEvidence(0, PoisonEvidence.NONE)
				: PoisonEvidenceCodec.decodeAnswer(snapshot)
					.orElseThrow(() -> new IllegalArgumentException(
							"the evidence of crashes in the snapshot cannot be decoded"));
		this.charges.clear();
		this.unconfirmed.clear();
		this.timeMillis = stored.logTimeMillis();
		stored.evidence().charges().forEach(this.charges::add);
		this.charges.mergeBegun(stored.evidence().begun());
		this.charges.mergeCompleted(stored.evidence().completed());
		stored.evidence().unconfirmed().forEach((each) -> this.unconfirmed.put(each.key(), each));
		this.charges.evaluate();
	}

}
