package org.comfreywall.entry.limit;

import org.comfreywall.common.util.Preconditions;

/**
 * The request is within the limits.
 *
 * @param permit the permit, to be returned when the request has ended
 */
public record LimitAdmitted(LimitPermit permit) implements LimitDecision {

	public LimitAdmitted {
		Preconditions.notNull(permit, "permit");
	}

}
