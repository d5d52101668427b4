package org.comfreywall.common.lease;

import java.util.List;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A grantor's response to one lease request.
 *
 * @param term the grantor's term
 * @param holder the entry instance that sent the lease request
 * @param incarnation the incarnation of the holder that sent the lease request
 * @param sequence the sequence number of that lease request
 * @param grants the grants, one for each accepted demand
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
