package org.comfreywall.entry.request;

import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.util.Preconditions;

/**
 * The ledger of claims responded to the release of a claim.
 *
 * @param proof the proof with which the claim was released
 * @param released whether the claim was held until the release; if not, another request
 * with the key may have run
 */
public record ClaimReleased(NotRunProof proof, boolean released) implements RequestEvent {

	public ClaimReleased {
		Preconditions.notNull(proof, "proof");
	}

}
