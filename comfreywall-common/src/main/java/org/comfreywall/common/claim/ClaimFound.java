package org.comfreywall.common.claim;

import org.comfreywall.common.util.Preconditions;

/**
 * The key is already claimed by another request.
 *
 * @param state the state of the existing claim
 */
public record ClaimFound(ClaimState state) implements ClaimResult {

	public ClaimFound {
		Preconditions.notNull(state, "state");
	}

}
