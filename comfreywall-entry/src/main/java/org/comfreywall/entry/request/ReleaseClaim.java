package org.comfreywall.entry.request;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.util.Preconditions;

/**
 * Releases a claim. The driver retries until the ledger responds, and then responds with
 * {@link ClaimReleased}.
 *
 * @param key the claimed key
 * @param proof the proof that the request did not run under the claim
 */
public record ReleaseClaim(ClaimKey key, NotRunProof proof) implements RequestCommand {

	public ReleaseClaim {
		Preconditions.notNull(key, "key");
		Preconditions.notNull(proof, "proof");
	}

}
