package org.comfreywall.control.ledger;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.util.Preconditions;

/**
 * The loss of a backend server, recorded for a fingerprint that was in flight on it.
 *
 * @param backendServer the backend server that was lost
 * @param incarnation the incarnation of its sidecar
 * @param crashNumber the number of the crash within the incarnation, starting at 1, or 0
 * if the sidecar was lost
 * @param causeKnown whether the loss is attributed to a fingerprint that crashed a
 * backend server in an isolated run; such a loss does not make this fingerprint suspect
 */
public record RecordedLoss(BackendServerId backendServer, Incarnation incarnation, int crashNumber,
		boolean causeKnown) {

	public RecordedLoss {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.check(crashNumber >= 0, "crash number must not be negative: %d", crashNumber);
	}

	static RecordedLoss of(CrashReport report) {
		return new RecordedLoss(report.backendServer(), report.incarnation(), report.crashNumber(), false);
	}

	RecordedLoss withKnownCause() {
		return new RecordedLoss(this.backendServer, this.incarnation, this.crashNumber, true);
	}

	boolean isBackendCrash() {
		return this.crashNumber > 0;
	}

	// Crash number 0 matches each crash of the same incarnation: an entry may report the
	// loss of the sidecar (0) for the same failure that the sidecar reported as a crash
	// of its backend server.
	boolean isSameLoss(RecordedLoss other) {
		boolean sameSidecar = this.backendServer.equals(other.backendServer)
				&& this.incarnation.equals(other.incarnation);
		return sameSidecar
				&& (this.crashNumber == other.crashNumber || this.crashNumber == 0 || other.crashNumber == 0);
	}

}
