package org.comfreywall.control.lease;

/**
 * In-flight slots that a holder may be using.
 *
 * @param sequence the sequence number of the lease request
 * @param slots the slots granted
 * @param expiresAt when the last request admitted under the grant has ended, in
 * nanoseconds on the grantor's clock
 */
record SlotGrant(long sequence, long slots, long expiresAt) {

	SlotGrant merge(SlotGrant newer) {
		return new SlotGrant(newer.sequence, Math.max(this.slots, newer.slots),
				Math.max(this.expiresAt, newer.expiresAt));
	}

}
