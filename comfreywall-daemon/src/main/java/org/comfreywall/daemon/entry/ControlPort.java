package org.comfreywall.daemon.entry;

import java.util.concurrent.CompletionStage;

import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.result.Result;
import org.comfreywall.entry.limit.SendAsk;
import org.comfreywall.entry.request.ClaimKeyFor;
import org.comfreywall.entry.request.FinishClaim;
import org.comfreywall.entry.request.FlightEnd;
import org.comfreywall.entry.request.FlightPermit;
import org.comfreywall.entry.request.MarkClaimUnknown;
import org.comfreywall.entry.request.ReleaseClaim;
import org.comfreywall.entry.request.ReleaseIsolation;

/**
 * The control instances as an entry sees them.
 * <p>
 * All answers come later and on any thread; none completes exceptionally.
 */
public interface ControlPort {

	/**
	 * Claims an idempotency key.
	 * @param command the key and the attempt's address
	 * @return completes with the result once it is durable on a quorum
	 */
	CompletionStage<Result<ClaimResult>> claim(ClaimKeyFor command);

	/**
	 * Records the answer of a claimed request.
	 * @param command the key and the answer
	 */
	void finish(FinishClaim command);

	/**
	 * Records that the outcome of a claimed request is unknown.
	 * @param command the key
	 */
	void markUnknown(MarkClaimUnknown command);

	/**
	 * Frees a key whose request is proven not to have run.
	 * @param command the key and the proof
	 * @return completes with whether the claim was released
	 */
	CompletionStage<Result<Boolean>> release(ReleaseClaim command);

	/**
	 * Asks for the slot for isolated runs.
	 * @param fingerprint the suspect
	 * @param request the request that would run it
	 * @return completes with the answer
	 */
	CompletionStage<Result<IsolationResult>> acquireIsolation(Fingerprint fingerprint, RequestId request);

	/**
	 * Gives the slot for isolated runs back.
	 * @param command the suspect and how its run ended
	 */
	void releaseIsolation(ReleaseIsolation command);

	/**
	 * Charges a crash to the requests in flight.
	 * @param report the crash
	 * @return completes once it is recorded
	 */
	CompletionStage<Result<Boolean>> charge(CrashReport report);

	/**
	 * Asks whether a request with a fingerprint may run beside others with the same.
	 * @param fingerprint the fingerprint
	 * @param request the request
	 * @param cleared whether the fingerprint has just been found not suspected
	 * @return completes with the answer
	 */
	CompletionStage<FlightPermit> askFlight(Fingerprint fingerprint, RequestId request, boolean cleared);

	/**
	 * Asks a grantor for shares of limits.
	 * @param command the grantor and the request
	 * @return completes with the grant or an error
	 */
	CompletionStage<Result<LeaseGrant>> lease(SendAsk command);

	/**
	 * Tells how a run ended.
	 * @param fingerprint the fingerprint
	 * @param request the request
	 * @param end how it ended
	 */
	void endFlight(Fingerprint fingerprint, RequestId request, FlightEnd end);

}
