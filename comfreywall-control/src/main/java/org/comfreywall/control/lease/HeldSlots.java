package org.comfreywall.control.lease;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.lease.AccountDemand;

/**
 * Tracks an upper bound on the in-flight slots that one holder can be using. Any of the
 * grants sent to it may have been lost.
 */
final class HeldSlots {

	private static final int MAX_GRANTS = 4;

	private final List<SlotGrant> grants = new ArrayList<>(MAX_GRANTS);

	private long used;

	private long usedUntil = Long.MIN_VALUE;

	/**
	 * Applies a holder's report: the holder no longer uses grants before the reported
	 * one, and uses at most the reported number of slots of that one.
	 * @param demand the holder's report
	 * @param requestsEndAt when the requests in flight have ended, in nanoseconds on the
	 * grantor's clock
	 */
	void applyReport(AccountDemand demand, long requestsEndAt) {
		this.grants.removeIf((grant) -> grant.sequence() < demand.heldSequence());
		if (!this.grants.isEmpty() && this.grants.get(0).sequence() == demand.heldSequence()) {
			SlotGrant held = this.grants.get(0);
			long slots = Math.min(held.slots(), demand.heldSlots());
			this.grants.set(0, new SlotGrant(held.sequence(), slots, held.expiresAt()));
		}
		this.used = demand.usedSlots();
		this.usedUntil = requestsEndAt;
	}

	// Adds a grant. If too many are unconfirmed, the two oldest are merged.
	void addGrant(SlotGrant grant) {
		if (this.grants.size() == MAX_GRANTS) {
			SlotGrant oldest = this.grants.remove(0);
			this.grants.set(0, oldest.upperBound(this.grants.get(0)));
		}
		this.grants.add(grant);
	}

	long committed(long now) {
		long maximum = (now < this.usedUntil) ? this.used : 0;
		for (SlotGrant grant : this.grants) {
			if (now < grant.expiresAt()) {
				maximum = Math.max(maximum, grant.slots());
			}
		}
		return maximum;
	}

}
