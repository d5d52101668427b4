package org.comfreywall.group.page;

import java.time.Instant;

import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.util.Preconditions;

/**
 * A decision that the page lists.
 *
 * @param at when it was made
 * @param record the decision
 */
public record PagePlan(Instant at, DecisionRecord record) {

	public PagePlan {
		Preconditions.notNull(at, "at");
		Preconditions.notNull(record, "record");
	}

}
