package org.comfreywall.control.state;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.FingerprintRecord;
import org.comfreywall.control.generated.IsolationReleaseRecord;
import org.comfreywall.control.generated.IsolationRequestRecord;
import org.comfreywall.control.generated.PoisonCommandRecord;
import org.comfreywall.control.ledger.PoisonLedger;
import org.comfreywall.control.ledger.PoisonLedgerSettings;

/**
 * Replicates a {@link PoisonLedger}; commands are encoded by {@link PoisonCommandCodec}.
 */
public final class ReplicatedPoison implements Ledger {

	/** The name of the ledger. */
	public static final String NAME = "poison";

	private final PoisonLedger ledger;

	/**
	 * Creates an empty ledger.
	 * @param settings the limits, which must be the same on all instances
	 * @param listener receives a decision record for each change of a verdict and each
	 * isolated run
	 */
	public ReplicatedPoison(PoisonLedgerSettings settings, DecisionListener listener) {
		this.ledger = new PoisonLedger(settings, listener);
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Returns the replicated ledger for reading; callers must not change it.
	 * @return the ledger
	 */
	public PoisonLedger ledger() {
		return this.ledger;
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		try {
			return dispatch(time.nanos(), PoisonCommandRecord.parseFrom(command.toArray()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return PoisonAnswerCodec.encodeMalformed();
		}
	}

	private Bytes dispatch(long now, PoisonCommandRecord command) {
		return switch (command.getActionCase()) {
			case CHARGE -> recordCrash(PoisonRecords.fromRecord(command.getCharge()), now);
			case ACQUIRE -> acquire(command.getAcquire(), now);
			case RELEASE -> release(command.getRelease(), now);
			case CLEAR ->
				PoisonAnswerCodec.encodeCleared(this.ledger.clear(PoisonRecords.fromRecord(command.getClear()), now));
			case ACTION_NOT_SET -> PoisonAnswerCodec.encodeMalformed();
		};
	}

	private Bytes recordCrash(CrashReport report, long now) {
		this.ledger.recordCrash(report, now);
		return PoisonAnswerCodec.encodeDone();
	}

	private Bytes acquire(IsolationRequestRecord request, long now) {
		return PoisonAnswerCodec.encodeIsolation(this.ledger.acquire(PoisonRecords.fromRecord(request.getFingerprint()),
				RequestId.of(request.getOwner()), now));
	}

	private Bytes release(IsolationReleaseRecord release, long now) {
		this.ledger.release(PoisonRecords.fromRecord(release.getFingerprint()), RequestId.of(release.getOwner()),
				IsolationEnd.valueOf(release.getEnd()), now);
		return PoisonAnswerCodec.encodeDone();
	}

	@Override
	public Bytes query(Bytes query) {
		try {
			Fingerprint fingerprint = PoisonRecords.fromRecord(FingerprintRecord.parseFrom(query.toArray()));
			return PoisonAnswerCodec.encodeVerdict(this.ledger.assess(fingerprint));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return PoisonAnswerCodec.encodeMalformed();
		}
	}

	@Override
	public Bytes snapshot() {
		return PoisonRecords.encode(this.ledger.snapshot());
	}

	@Override
	public void restore(Bytes snapshot) {
		this.ledger.restore(PoisonRecords.decode(snapshot));
	}

}
