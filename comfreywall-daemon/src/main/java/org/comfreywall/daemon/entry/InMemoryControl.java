package org.comfreywall.daemon.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.ledger.ClaimLedger;
import org.comfreywall.control.ledger.ClaimLedgerSettings;
import org.comfreywall.control.ledger.PoisonLedger;
import org.comfreywall.control.ledger.PoisonLedgerSettings;
import org.comfreywall.entry.limit.SendLeaseRequest;
import org.comfreywall.entry.request.AcquireClaim;
import org.comfreywall.entry.request.FinishClaim;
import org.comfreywall.entry.request.FlightEnd;
import org.comfreywall.entry.request.FlightPermit;
import org.comfreywall.entry.request.MarkClaimUnknown;
import org.comfreywall.entry.request.ReleaseClaim;
import org.comfreywall.entry.request.ReleaseIsolation;
import org.comfreywall.entry.request.SingleFlightGuard;
import org.comfreywall.entry.request.SingleFlightGuardSettings;

/**
 * Keeps claims, suspects and flight permits in memory, for an entry that runs without
 * control instances. Limits are granted in full.
 */
public final class InMemoryControl implements ControlPort {

	private final Clock clock;

	private final ClaimLedger claims = new ClaimLedger(ClaimLedgerSettings.DEFAULT);

	private final PoisonLedger poison;

	private final SingleFlightGuard flights;

	/**
	 * Creates an instance without claims and suspects.
	 * @param clock the clock that replaces the time of the replicated log
	 * @param decisions receives a record of each verdict
	 */
	public InMemoryControl(Clock clock, DecisionListener decisions) {
		this.clock = Preconditions.notNull(clock, "clock");
		this.flights = new SingleFlightGuard(SingleFlightGuardSettings.DEFAULT, clock.nanoTime());
		this.poison = new PoisonLedger(PoisonLedgerSettings.DEFAULT, decisions);
	}

	@Override
	public synchronized CompletionStage<Result<ClaimResult>> acquireClaim(AcquireClaim command) {
		return completed(this.claims.claim(command.key(), command.bodyDigest(), command.request(),
				command.target().backendServer(), command.target().incarnation(), now()));
	}

	@Override
	public synchronized void finishClaim(FinishClaim command) {
		this.claims.recordAnswer(command.key(), command.owner(), command.answer(), now());
	}

	@Override
	public synchronized void markClaimUnknown(MarkClaimUnknown command) {
		this.claims.markUnknown(command.key(), command.owner(), now());
	}

	@Override
	public synchronized CompletionStage<Result<Boolean>> releaseClaim(ReleaseClaim command) {
		return completed(this.claims.release(command.key(), command.proof(), now()).map((claim) -> true));
	}

	@Override
	public synchronized CompletionStage<Result<IsolationResult>> acquireIsolation(Fingerprint fingerprint,
			RequestId request) {
		return completed(Result.success(this.poison.acquire(fingerprint, request, now())));
	}

	@Override
	public synchronized void releaseIsolation(ReleaseIsolation command) {
		this.poison.release(command.fingerprint(), command.request(), command.end(), now());
	}

	@Override
	public synchronized CompletionStage<Result<Boolean>> recordCrash(CrashReport report) {
		this.poison.recordCrash(report, now());
		return completed(Result.success(true));
	}

	@Override
	public synchronized CompletionStage<FlightPermit> requestFlightPermit(Fingerprint fingerprint, RequestId request,
			boolean cleared) {
		if (this.poison.assess(fingerprint) != PoisonVerdict.CLEAR) {
			return completed(FlightPermit.SUSPECT);
		}
		return completed(this.flights.requestPermit(fingerprint, request, cleared, now()));
	}

	@Override
	public synchronized CompletionStage<Result<LeaseGrant>> requestLease(SendLeaseRequest command) {
		List<AccountGrant> grants = command.request()
			.demands()
			.stream()
			.map((demand) -> new AccountGrant(demand.account(), demand.requests(), demand.tokens(), demand.slots()))
			.toList();
		LeaseRequest request = command.request();
		return completed(Result
			.success(new LeaseGrant(Term.of(1), request.holder(), request.incarnation(), request.sequence(), grants)));
	}

	@Override
	public synchronized void reportFlightEnd(Fingerprint fingerprint, RequestId request, FlightEnd end) {
		this.flights.recordEnd(fingerprint, request, end, now());
	}

	private long now() {
		return this.clock.nanoTime();
	}

	private static <T> CompletionStage<T> completed(T value) {
		return CompletableFuture.completedFuture(value);
	}

}
