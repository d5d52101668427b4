package org.comfreywall.entry.limit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;

/**
 * Assigns sequence numbers to the lease requests sent to one grantor and matches its
 * grants to them.
 */
final class GrantorChannel {

	private static final int MAX_OPEN_REQUESTS = 256;

	private final InstanceId entry;

	private final Incarnation incarnation;

	private final Map<Long, OpenLeaseRequest> openRequests = new LinkedHashMap<>();

	private long sequence;

	private Term term = Term.ZERO;

	private long unansweredSince = Long.MAX_VALUE;

	GrantorChannel(InstanceId entry, Incarnation incarnation) {
		this.entry = entry;
		this.incarnation = incarnation;
	}

	LeaseRequest createRequest(List<AccountDemand> demands, long now) {
		this.sequence++;
		Map<AccountId, AccountDemand> byAccount = new HashMap<>();
		demands.forEach((demand) -> byAccount.put(demand.account(), demand));
		this.openRequests.put(this.sequence, new OpenLeaseRequest(now, byAccount));
		if (this.openRequests.size() > MAX_OPEN_REQUESTS) {
			this.openRequests.remove(this.openRequests.keySet().iterator().next());
		}
		this.unansweredSince = Math.min(this.unansweredSince, now);
		return new LeaseRequest(this.entry, this.incarnation, this.sequence, this.term, demands);
	}

	/**
	 * Matches a grant to its lease request, at most once.
	 * @param grant the grant
	 * @return the lease request, or {@code null} if the grant is a duplicate, too late,
	 * addressed to an earlier incarnation of this process or from a grantor of an earlier
	 * term
	 */
	OpenLeaseRequest match(LeaseGrant grant) {
		boolean addressedToThis = grant.holder().equals(this.entry) && grant.incarnation().equals(this.incarnation);
		if (!addressedToThis || grant.term().isBefore(this.term)) {
			return null;
		}
		OpenLeaseRequest request = this.openRequests.remove(grant.sequence());
		if (request != null) {
			this.term = grant.term();
			this.unansweredSince = Long.MAX_VALUE;
		}
		return request;
	}

	void discardBefore(long sentAt) {
		this.openRequests.values().removeIf((request) -> request.sentAt() < sentAt);
	}

	boolean isSilent(long nanos, long now) {
		return this.unansweredSince != Long.MAX_VALUE && now - this.unansweredSince > nanos;
	}

	long sequence() {
		return this.sequence;
	}

}
