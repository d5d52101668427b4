package org.comfreywall.control.state;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.claim.NotRunEvidence;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.ClaimCommandRecord;
import org.comfreywall.control.generated.ClaimReleaseRecord;
import org.comfreywall.control.generated.ClaimRequestRecord;
import org.comfreywall.control.ledger.ClaimLedger;
import org.comfreywall.control.ledger.ClaimLedgerSettings;

/**
 * Replicates a {@link ClaimLedger}; commands are encoded by {@link ClaimCommandCodec}.
 */
public final class ReplicatedClaims implements Ledger {

	/** The name of the ledger. */
	public static final String NAME = "claims";

	private final ClaimLedger ledger;

	/**
	 * Creates an empty ledger.
	 * @param settings the limits, which must be the same on all instances
	 */
	public ReplicatedClaims(ClaimLedgerSettings settings) {
		this.ledger = new ClaimLedger(settings);
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Returns the replicated ledger for reading; callers must not change it.
	 * @return the ledger
	 */
	public ClaimLedger ledger() {
		return this.ledger;
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		return ClaimCommandCodec.parse(command)
			.map((parsed) -> apply(time.nanos(), parsed))
			.value()
			.orElseGet(ClaimAnswerCodec::encodeMalformed);
	}

	private Bytes apply(long now, ClaimCommandRecord command) {
		try {
			return dispatch(now, command);
		}
		catch (IllegalArgumentException ex) {
			return ClaimAnswerCodec.encodeMalformed();
		}
	}

	private Bytes dispatch(long now, ClaimCommandRecord command) {
		ClaimKey key = ClaimRecords.fromRecord(command.getKey());
		RequestId owner = RequestId.of(command.getOwner());
		return switch (command.getActionCase()) {
			case CLAIM -> ClaimAnswerCodec.encodeResult(claim(key, owner, command.getClaim(), now));
			case FINISH -> ClaimAnswerCodec
				.encodeState(this.ledger.recordAnswer(key, owner, ClaimRecords.fromRecord(command.getFinish()), now));
			case MARK_UNKNOWN -> ClaimAnswerCodec.encodeState(this.ledger.markUnknown(key, owner, now));
			case RELEASE -> ClaimAnswerCodec.encodeState(release(key, owner, command.getRelease(), now));
			case ACTION_NOT_SET -> ClaimAnswerCodec.encodeMalformed();
		};
	}

	private Result<ClaimResult> claim(ClaimKey key, RequestId owner, ClaimRequestRecord request, long now) {
		return this.ledger.claim(key, request.getBodyDigest(), owner,
				BackendServerId.of(request.getAttempt().getBackendServer()),
				Incarnation.of(request.getAttempt().getIncarnation()), now);
	}

	private Result<ClaimState> release(ClaimKey key, RequestId owner, ClaimReleaseRecord release, long now) {
		NotRunProof proof = new NotRunProof(NotRunEvidence.valueOf(release.getEvidence()), owner,
				BackendServerId.of(release.getAttempt().getBackendServer()),
				Incarnation.of(release.getAttempt().getIncarnation()));
		return this.ledger.release(key, proof, now).map((claim) -> claim);
	}

	@Override
	public Bytes query(Bytes query) {
		return ClaimCommandCodec.parseKey(query)
			.map((key) -> ClaimAnswerCodec.encodeLookup(this.ledger.find(key)))
			.value()
			.orElseGet(ClaimAnswerCodec::encodeMalformed);
	}

	@Override
	public Bytes snapshot() {
		return ClaimRecords.encode(this.ledger.snapshot());
	}

	@Override
	public void restore(Bytes snapshot) {
		this.ledger.restore(ClaimRecords.decode(snapshot));
	}

}
