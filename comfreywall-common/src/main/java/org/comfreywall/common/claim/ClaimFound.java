package org.comfreywall.common.claim;

import org.comfreywall.common.util.Preconditions;

/**
 * The key was claimed before by another request.
 *
 * @param state the state of the earlier claim
 */
public record ClaimFound(ClaimState state) implements ClaimResult {

	public ClaimFound {
		Preconditions.notNull(state, "state");
	}

}
