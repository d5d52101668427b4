package org.comfreywall.control.ledger;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * The holder of the only slot for isolated runs in the fleet.
 *
 * @param fingerprint the suspected fingerprint
 * @param owner the request that may run in isolation
 * @param expiresAt the log time in nanoseconds at which the run counts as a loss of the
 * backend server
 */
public record IsolationSlot(Fingerprint fingerprint, RequestId owner, long expiresAt) {

	public IsolationSlot {
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.notNull(owner, "owner");
	}

	boolean isHeldBy(Fingerprint suspect, RequestId request) {
		return this.fingerprint.equals(suspect) && this.owner.equals(request);
	}

}
