package org.comfreywall.entry.request;

import java.util.Optional;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.NotRunEvidence;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.RequestId;

/**
 * The claim of a request on its idempotency key.
 */
final class ClaimHandle {

	private final RequestContext context;

	private final RequestSpec spec;

	private final Optional<ClaimKey> key;

	private Optional<AttemptTarget> target = Optional.empty();

	private Optional<NotRunEvidence> evidence = Optional.empty();

	private Optional<NotRunProof> releaseProof = Optional.empty();

	private boolean granted;

	ClaimHandle(RequestContext context, RequestSpec spec) {
		this.context = context;
		this.spec = spec;
		this.key = spec.claimKey();
	}

	boolean isNeeded() {
		return this.key.isPresent();
	}

	void acquire(AttemptTarget requested) {
		this.target = Optional.of(requested);
		this.evidence = Optional.of(NotRunEvidence.NEVER_SENT);
		this.context.emit(new AcquireClaim(this.spec.id(), this.key.orElseThrow(), this.spec.fingerprint().bodyDigest(),
				requested));
	}

	boolean isRequestedFor(AttemptTarget other) {
		return this.target.filter(other::equals).isPresent();
	}

	void markGranted() {
		this.granted = true;
	}

	boolean isGranted() {
		return this.granted;
	}

	void markSent() {
		this.evidence = Optional.empty();
	}

	void recordEvidence(NotRunEvidence proof) {
		this.evidence = Optional.of(proof);
	}

	/**
	 * Returns whether the claim is held and its attempt provably did not run.
	 * @return {@code true} if releasing the claim can prove that no request with the key
	 * ran
	 */
	boolean canProveNotRun() {
		return this.granted && this.evidence.isPresent();
	}

	boolean isReleasedBy(NotRunProof proof) {
		return this.releaseProof.filter(proof::equals).isPresent();
	}

	void release() {
		if (this.target.isPresent() && this.evidence.isPresent()) {
			AttemptTarget claimed = this.target.get();
			NotRunProof proof = new NotRunProof(this.evidence.get(), this.spec.id(), claimed.backendServer(),
					claimed.incarnation());
			this.releaseProof = Optional.of(proof);
			releaseWith(proof);
		}
		this.target = Optional.empty();
		this.granted = false;
	}

	void releaseWith(NotRunProof proof) {
		this.context.emit(new ReleaseClaim(this.key.orElseThrow(), proof));
	}

	void releaseOwn(ClaimRunning earlier) {
		releaseWith(new NotRunProof(NotRunEvidence.SEALED, earlier.owner(), earlier.backendServer(),
				earlier.incarnation()));
	}

	void recordAnswer(RequestId owner, RecordedAnswer answer) {
		this.key.ifPresent((claimed) -> this.context.emit(new FinishClaim(claimed, owner, answer)));
	}

	void markUnknown(RequestId owner) {
		this.key.ifPresent((claimed) -> this.context.emit(new MarkClaimUnknown(claimed, owner)));
	}

}
