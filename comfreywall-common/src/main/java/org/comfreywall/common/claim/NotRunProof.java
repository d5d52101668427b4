package org.comfreywall.common.claim;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Proof that a request did not run under a claim and never will.
 * <p>
 * The proof contains the attempt's target, so that a delayed copy of the proof cannot
 * release a newer claim of the same request.
 *
 * @param evidence the kind of evidence
 * @param owner the request that holds the claim
 * @param backendServer the backend server to which the attempt was addressed
 * @param incarnation the incarnation of the sidecar to which the attempt was addressed
 */
public record NotRunProof(NotRunEvidence evidence, RequestId owner, BackendServerId backendServer,
		Incarnation incarnation) {

	public NotRunProof {
		Preconditions.notNull(evidence, "evidence");
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

	/**
	 * Returns whether the proof applies to the attempt of a claim.
	 * @param claim the claim
	 * @return {@code true} if owner, backend server and incarnation are equal
	 */
	public boolean appliesTo(ClaimRunning claim) {
		return this.owner.equals(claim.owner()) && this.backendServer.equals(claim.backendServer())
				&& this.incarnation.equals(claim.incarnation());
	}

}
