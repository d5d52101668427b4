package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry whose request has the same claimed idempotency key as another request, the
 * claim's owner, requested the answer of the owner's attempt, or to seal every attempt of
 * the owner if none was received.
 *
 * @param owner the request that holds the claim
 * @param incarnation the addressed incarnation of the sidecar
 * @param link the connection from the entry
 */
public record ClaimQueryReceived(RequestId owner, Incarnation incarnation, EntryLink link) implements AttemptEvent {

	public ClaimQueryReceived {
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(link, "link");
	}

}
