package org.comfreywall.common.lease;

import java.util.List;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A holder's request for shares of the limits of the client accounts that it serves.
 *
 * @param holder the entry instance that sends the lease request
 * @param incarnation the holder's incarnation
 * @param sequence the number of the holder's lease request to this grantor, starting at 1
 * @param term the newest term that the holder has received from the grantor
 * @param demands the demands, at most one for each client account
 */
public record LeaseRequest(InstanceId holder, Incarnation incarnation, long sequence, Term term,
		List<AccountDemand> demands) {

	public LeaseRequest {
		Preconditions.notNull(holder, "holder");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.check(sequence >= 1, "sequence must be at least 1: %d", sequence);
		Preconditions.notNull(term, "term");
		demands = List.copyOf(demands);
	}

}
