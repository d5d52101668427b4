package org.comfreywall.common.claim;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The state of a claim whose request ran and whose answer is recorded.
 *
 * @param owner the request that held the claim
 * @param answer the recorded answer
 */
public record ClaimCompleted(RequestId owner, RecordedAnswer answer) implements ClaimState {

	public ClaimCompleted {
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(answer, "answer");
	}

}
