package org.comfreywall.entry.request;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Record the answer of a claimed request; to be repeated until the ledger answers.
 *
 * @param key the claimed key
 * @param owner the request that holds the claim
 * @param answer the whole answer
 */
public record FinishClaim(ClaimKey key, RequestId owner, RecordedAnswer answer) implements RequestCommand {

	public FinishClaim {
		Preconditions.notNull(key, "key");
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(answer, "answer");
	}

}
