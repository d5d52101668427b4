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

	private static final int MAX_OPEN_ASKS = 256;

	private final InstanceId entry;

	private final Incarnation incarnation;

	private final Map<Long, OpenAsk> open = new LinkedHashMap<>();

	private long sequence;

	private Term term = Term.ZERO;

	private long silentSince = Long.MAX_VALUE;

	GrantorChannel(InstanceId entry, Incarnation incarnation) {
		this.entry = entry;
		this.incarnation = incarnation;
	}

	LeaseRequest ask(List<AccountDemand> demands, long now) {
		this.sequence++;
		Map<AccountId, AccountDemand> byAccount = new HashMap<>();
		demands.forEach((demand) -> byAccount.put(demand.account(), demand));
		this.open.put(this.sequence, new OpenAsk(now, byAccount));
		if (this.open.size() > MAX_OPEN_ASKS) {
			this.open.remove(this.open.keySet().iterator().next());
		}
		this.silentSince = Math.min(this.silentSince, now);
		return new LeaseRequest(this.entry, this.incarnation, this.sequence, this.term, demands);
	}

	/**
	 * Matches a grant to its lease request, at most once.
	 * @param grant the grant
	 * @return the lease request, or {@code null} if the grant is a duplicate, too late,
	 * addressed to an earlier incarnation of this process or from a grantor of an earlier
	 * term
	 */
	OpenAsk match(LeaseGrant grant) {
		boolean addressedToThis = grant.holder().equals(this.entry) && grant.incarnation().equals(this.incarnation);
		if (!addressedToThis || grant.term().isBefore(this.term)) {
			return null;
		}
		OpenAsk request = this.open.remove(grant.sequence());
		if (request != null) {
			this.term = grant.term();
			this.silentSince = Long.MAX_VALUE;
		}
		return request;
	}

	void forgetBefore(long sentAt) {
		this.open.values().removeIf((request) -> request.sentAt() < sentAt);
	}

	boolean isSilent(long nanos, long now) {
		return this.silentSince != Long.MAX_VALUE && now - this.silentSince > nanos;
	}

	long sequence() {
		return this.sequence;
	}

}
