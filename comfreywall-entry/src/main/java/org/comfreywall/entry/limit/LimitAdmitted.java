package org.comfreywall.entry.limit;

import org.comfreywall.common.util.Preconditions;

/**
 * The request is within the limits.
 *
 * @param permit to be handed back when the request has ended
 */
public record LimitAdmitted(LimitPermit permit) implements LimitDecision {

	public LimitAdmitted {
		Preconditions.notNull(permit, "permit");
	}

}
