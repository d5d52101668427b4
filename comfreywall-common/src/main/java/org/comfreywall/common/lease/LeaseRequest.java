package org.comfreywall.common.lease;

import java.util.List;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A holder's ask for shares of the limits of the client accounts it has in use.
 *
 * @param holder the entry instance that asks
 * @param incarnation the life of the holder's process
 * @param sequence numbers the holder's asks to one grantor, from 1
 * @param term the newest term of the grantor that the holder knows
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
