package org.comfreywall.entry.request;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Records that a claimed request may have run. The driver retries until the ledger
 * responds.
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
