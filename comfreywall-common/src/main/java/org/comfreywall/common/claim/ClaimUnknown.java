package org.comfreywall.common.claim;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The state of a claim whose request may or may not have run. It is never run again.
 *
 * @param owner the request that held the claim
 */
public record ClaimUnknown(RequestId owner) implements ClaimState {

	public ClaimUnknown {
		Preconditions.notNull(owner, "owner");
	}

}
