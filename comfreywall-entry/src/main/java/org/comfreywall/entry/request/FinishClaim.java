package org.comfreywall.entry.request;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Records the answer of a claimed request in the ledger of claims. The driver retries
 * until the ledger responds.
 *
 * @param key the claimed key
 * @param owner the request that holds the claim
 * @param answer the complete answer
 */
public record FinishClaim(ClaimKey key, RequestId owner, RecordedAnswer answer) implements RequestCommand {

	public FinishClaim {
		Preconditions.notNull(key, "key");
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(answer, "answer");
	}

}
