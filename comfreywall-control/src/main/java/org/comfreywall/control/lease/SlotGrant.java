package org.comfreywall.control.lease;

/**
 * One grant of in-flight slots to a holder, which may still be in use.
 *
 * @param sequence the sequence number of the lease request
 * @param slots the slots granted
 * @param expiresAt the time by which every request admitted under the grant has ended, in
 * nanoseconds on the grantor's clock
 */
record SlotGrant(long sequence, long slots, long expiresAt) {

	// Returns an upper bound for both grants. It has the newer sequence number, so that
	// it counts until the holder reports that grant or a later one.
	SlotGrant upperBound(SlotGrant newer) {
		return new SlotGrant(newer.sequence, Math.max(this.slots, newer.slots),
				Math.max(this.expiresAt, newer.expiresAt));
	}

}
