package org.comfreywall.entry.request;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Record that a claimed request may have run; to be repeated until the ledger answers.
 *
 * @param key the claimed key
 * @param owner the request that holds the claim
 */
public record MarkClaimUnknown(ClaimKey key, RequestId owner) implements RequestCommand {

	public MarkClaimUnknown {
		Preconditions.notNull(key, "key");
		Preconditions.notNull(owner, "owner");
	}

}
