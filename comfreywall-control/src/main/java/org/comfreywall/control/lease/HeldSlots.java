package org.comfreywall.control.lease;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.lease.AccountDemand;

/**
 * Tracks the most in-flight slots that one holder can be using, whichever of the grants
 * sent to it arrived.
 */
final class HeldSlots {

	private static final int MAX_GRANTS = 4;

	private final List<SlotGrant> grants = new ArrayList<>(MAX_GRANTS);

	private long used;

	private long usedUntil = Long.MIN_VALUE;

	/**
	 * Takes in what the holder reports: it uses no grant before the one named, and of
	 * that one no more slots than named.
	 * @param demand the holder's report
	 * @param until when the requests in flight have ended, in nanoseconds
	 */
	void report(AccountDemand demand, long until) {
		this.grants.removeIf((grant) -> grant.sequence() < demand.heldSequence());
		if (!this.grants.isEmpty() && this.grants.get(0).sequence() == demand.heldSequence()) {
			SlotGrant held = this.grants.get(0);
			long slots = Math.min(held.slots(), demand.heldSlots());
			this.grants.set(0, new SlotGrant(held.sequence(), slots, held.until()));
		}
		this.used = demand.usedSlots();
		this.usedUntil = until;
	}

	void add(SlotGrant grant) {
		if (this.grants.size() == MAX_GRANTS) {
			SlotGrant oldest = this.grants.remove(0);
			this.grants.set(0, oldest.merge(this.grants.get(0)));
		}
		this.grants.add(grant);
	}

	long committed(long now) {
		long most = (now < this.usedUntil) ? this.used : 0;
		for (SlotGrant grant : this.grants) {
			if (now < grant.until()) {
				most = Math.max(most, grant.slots());
			}
		}
		return most;
	}

}
