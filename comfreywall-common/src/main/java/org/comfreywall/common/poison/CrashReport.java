package org.comfreywall.common.poison;

import java.util.List;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Report of the loss of a backend server, with the requests that were in flight on it.
 *
 * @param evidence how the loss was detected
 * @param backendServer the lost backend server
 * @param incarnation the incarnation of its sidecar
 * @param crashNumber the number of the crash within the sidecar's incarnation, starting
 * at 1, or 0 if the sidecar was lost
 * @param inFlight the fingerprints of the requests in flight
 * @param isolated whether the only request in flight ran in isolation
 */
public record CrashReport(CrashEvidence evidence, BackendServerId backendServer, Incarnation incarnation,
		int crashNumber, List<Fingerprint> inFlight, boolean isolated) {

	public CrashReport {
		Preconditions.notNull(evidence, "evidence");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.check((evidence == CrashEvidence.SIDECAR_LOST) ? crashNumber == 0 : crashNumber >= 1,
				"crash number must be 0 if the sidecar was lost and at least 1 otherwise: %d", crashNumber);
		inFlight = List.copyOf(inFlight);
		Preconditions.check(!isolated || inFlight.size() == 1, "inFlight of an isolated run must have one element: %d",
				inFlight.size());
	}

}
