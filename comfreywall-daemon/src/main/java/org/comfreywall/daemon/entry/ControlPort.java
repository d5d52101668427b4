package org.comfreywall.daemon.entry;

import java.util.concurrent.CompletionStage;

import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.result.Result;
import org.comfreywall.entry.limit.SendLeaseRequest;
import org.comfreywall.entry.request.AcquireClaim;
import org.comfreywall.entry.request.FinishClaim;
import org.comfreywall.entry.request.FlightEnd;
import org.comfreywall.entry.request.FlightPermit;
import org.comfreywall.entry.request.MarkClaimUnknown;
import org.comfreywall.entry.request.ReleaseClaim;
import org.comfreywall.entry.request.ReleaseIsolation;

/**
 * Operations of an entry on the state kept by the control instances.
 * <p>
 * The returned stages complete on any thread, and never exceptionally: a failure is
 * reported in the result.
 */
public interface ControlPort {

	/**
	 * Claims an idempotency key.
	 * @param command the key, the request and the target of its attempt
	 * @return completes with the result once the claim is durable on a quorum
	 */
	CompletionStage<Result<ClaimResult>> acquireClaim(AcquireClaim command);

	/**
	 * Records the answer of a claimed request.
	 * @param command the key and the answer
	 */
	void finishClaim(FinishClaim command);

	/**
	 * Records that the outcome of a claimed request is unknown.
	 * @param command the key
	 */
	void markClaimUnknown(MarkClaimUnknown command);

	/**
	 * Releases the claim of a request that is proven not to have run.
	 * @param command the key and the proof
	 * @return completes with {@code true} once the claim is released, or with an error
	 */
	CompletionStage<Result<Boolean>> releaseClaim(ReleaseClaim command);

	/**
	 * Requests the slot for an isolated run of a suspect.
	 * @param fingerprint the suspect fingerprint
	 * @param request the request that needs the slot
	 * @return completes with whether the slot is granted, or with an error
	 */
	CompletionStage<Result<IsolationResult>> acquireIsolation(Fingerprint fingerprint, RequestId request);

	/**
	 * Releases the slot for isolated runs.
	 * @param command the fingerprint and the result of its run
	 */
	void releaseIsolation(ReleaseIsolation command);

	/**
	 * Records a crash of a backend server against the fingerprints that were in flight.
	 * @param report the crash and the attempts in flight
	 * @return completes once the crash is recorded, or with an error
	 */
	CompletionStage<Result<Boolean>> recordCrash(CrashReport report);

	/**
	 * Requests a permit to run a request concurrently with others of the same
	 * fingerprint.
	 * @param fingerprint the fingerprint
	 * @param request the request
	 * @param cleared whether the fingerprint was just found not to be suspect
	 * @return completes with the decision
	 */
	CompletionStage<FlightPermit> requestFlightPermit(Fingerprint fingerprint, RequestId request, boolean cleared);

	/**
	 * Requests shares of client account limits from a grantor.
	 * @param command the grantor and the lease request
	 * @return completes with the grant, or with an error
	 */
	CompletionStage<Result<LeaseGrant>> requestLease(SendLeaseRequest command);

	/**
	 * Reports the end of a run, which ends its flight permit.
	 * @param fingerprint the fingerprint
	 * @param request the request
	 * @param end the result of the run
	 */
	void reportFlightEnd(Fingerprint fingerprint, RequestId request, FlightEnd end);

}
