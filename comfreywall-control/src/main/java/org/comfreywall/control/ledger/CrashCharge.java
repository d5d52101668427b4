package org.comfreywall.control.ledger;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.util.Preconditions;

/**
 * The loss of a backend server, charged to a fingerprint that was in flight on it.
 *
 * @param backendServer the backend server that was lost
 * @param incarnation the incarnation of its sidecar
 * @param crash the number of the crash within the incarnation, starting at 1, or 0 if the
 * sidecar was lost
 * @param explained whether the loss is attributed to another, convicted fingerprint
 */
public record CrashCharge(BackendServerId backendServer, Incarnation incarnation, int crash, boolean explained) {

	public CrashCharge {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.check(crash >= 0, "crash must not be negative: %d", crash);
	}

	static CrashCharge of(CrashReport report) {
		return new CrashCharge(report.backendServer(), report.incarnation(), report.crash(), false);
	}

	CrashCharge asExplained() {
		return new CrashCharge(this.backendServer, this.incarnation, this.crash, true);
	}

	boolean isBackendCrash() {
		return this.crash > 0;
	}

	boolean isSameLoss(CrashCharge other) {
		boolean sameSidecar = this.backendServer.equals(other.backendServer)
				&& this.incarnation.equals(other.incarnation);
		return sameSidecar && (this.crash == other.crash || this.crash == 0 || other.crash == 0);
	}

}
