package org.comfreywall.common.claim;

import org.comfreywall.common.id.RequestId;

/**
 * The durable state of a claim on an idempotency key.
 */
public sealed interface ClaimState permits ClaimRunning, ClaimCompleted, ClaimUnknown {

	/**
	 * Returns the request that holds the claim.
	 * @return the request's identifier
	 */
	RequestId owner();

}
