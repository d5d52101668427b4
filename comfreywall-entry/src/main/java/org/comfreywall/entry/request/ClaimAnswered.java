package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The ledger of claims responded to a claim.
 *
 * @param request the request
 * @param target the target that the claim was requested for
 * @param result the result, committed on a quorum
 */
public record ClaimAnswered(RequestId request, AttemptTarget target, ClaimResult result) implements RequestEvent {

	public ClaimAnswered {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(target, "target");
		Preconditions.notNull(result, "result");
	}

}
