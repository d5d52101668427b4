package org.comfreywall.group.page;

import java.time.Instant;

import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.util.Preconditions;

/**
 * A placement decision shown on the page of a group.
 *
 * @param at the time of the decision
 * @param record the decision with its result and inputs
 */
public record PagePlan(Instant at, DecisionRecord record) {

	public PagePlan {
		Preconditions.notNull(at, "at");
		Preconditions.notNull(record, "record");
	}

}
