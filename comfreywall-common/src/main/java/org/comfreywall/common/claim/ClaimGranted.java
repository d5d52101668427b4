package org.comfreywall.common.claim;

import org.comfreywall.common.util.Preconditions;

/**
 * The claim is durable on a quorum and is held by the requesting request.
 *
 * @param claim the claim as recorded
 */
public record ClaimGranted(ClaimRunning claim) implements ClaimResult {

	public ClaimGranted {
		Preconditions.notNull(claim, "claim");
	}

}
