package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry that found a running claim asks to join its attempt, or to seal it unless it
 * has started.
 *
 * @param owner the request that holds the claim
 * @param incarnation the incarnation of the sidecar that is addressed
 * @param link the connection of the sender
 */
public record ClaimQueryReceived(RequestId owner, Incarnation incarnation, EntryLink link) implements AttemptEvent {

	public ClaimQueryReceived {
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(link, "link");
	}

}
