package org.comfreywall.common.lease;

import java.util.List;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A grantor's answer to one ask.
 *
 * @param term the grantor's term
 * @param holder the entry instance that asked
 * @param incarnation the life of the holder's process that asked
 * @param sequence the sequence number of the ask that is answered
 * @param grants the grants, one for each demand that was taken
 */
public record LeaseGrant(Term term, InstanceId holder, Incarnation incarnation, long sequence,
		List<AccountGrant> grants) {

	public LeaseGrant {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(holder, "holder");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.check(sequence >= 1, "sequence must be at least 1: %d", sequence);
		grants = List.copyOf(grants);
	}

}
