package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.state.ClaimAnswerCodec;
import org.comfreywall.control.state.ClaimCommandCodec;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.PoisonAnswerCodec;
import org.comfreywall.control.state.PoisonCommandCodec;
import org.comfreywall.control.state.ReplicatedClaims;
import org.comfreywall.control.state.ReplicatedPoison;
import org.comfreywall.entry.limit.GrantorRole;
import org.comfreywall.entry.limit.SendLeaseRequest;
import org.comfreywall.entry.request.AcquireClaim;
import org.comfreywall.entry.request.FinishClaim;
import org.comfreywall.entry.request.FlightEnd;
import org.comfreywall.entry.request.FlightPermit;
import org.comfreywall.entry.request.MarkClaimUnknown;
import org.comfreywall.entry.request.ReleaseClaim;
import org.comfreywall.entry.request.ReleaseIsolation;
import org.comfreywall.transport.control.ControlClient;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.control.LeaseCodec;
import org.comfreywall.transport.generated.FlightEndRequest;
import org.comfreywall.transport.generated.FlightRequest;
import org.comfreywall.transport.generated.LeaseCall;
import org.comfreywall.transport.generated.LeaseReply;

/**
 * Keeps claims and suspects in the replicated state of the control instances.
 * <p>
 * Flight permits are not replicated: the control instance to which a fingerprint hashes
 * decides on them. If it does not reply in time the request is permitted (fail open),
 * because suspects are still isolated once a crash has been recorded.
 */
public final class RemoteControl implements ControlPort {

	private static final EventLog LOG = EventLog.of(RemoteControl.class);

	private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration LEASE_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration FLIGHT_TIMEOUT = Duration.ofMillis(100);

	private final ControlClient control;

	/**
	 * Creates a port.
	 * @param control the client of the control instances
	 */
	public RemoteControl(ControlClient control) {
		this.control = Preconditions.notNull(control, "control");
	}

	@Override
	public CompletionStage<Result<ClaimResult>> acquireClaim(AcquireClaim command) {
		ClaimRunning claim = new ClaimRunning(command.request(), command.target().backendServer(),
				command.target().incarnation());
		return propose(ReplicatedClaims.NAME, ClaimCommandCodec.claim(command.key(), command.bodyDigest(), claim),
				CLAIM_TIMEOUT)
			.thenApply((result) -> result.flatMap(ClaimAnswerCodec::decodeResult));
	}

	@Override
	public void finishClaim(FinishClaim command) {
		proposeAndLogFailure("finish-claim", ReplicatedClaims.NAME,
				ClaimCommandCodec.recordAnswer(command.key(), command.owner(), command.answer()));
	}

	@Override
	public void markClaimUnknown(MarkClaimUnknown command) {
		proposeAndLogFailure("mark-claim-unknown", ReplicatedClaims.NAME,
				ClaimCommandCodec.markUnknown(command.key(), command.owner()));
	}

	@Override
	public CompletionStage<Result<Boolean>> releaseClaim(ReleaseClaim command) {
		return propose(ReplicatedClaims.NAME, ClaimCommandCodec.release(command.key(), command.proof()), CLAIM_TIMEOUT)
			.thenApply((result) -> result.flatMap(ClaimAnswerCodec::decodeState).map((claim) -> true));
	}

	@Override
	public CompletionStage<Result<IsolationResult>> acquireIsolation(Fingerprint fingerprint, RequestId request) {
		return propose(ReplicatedPoison.NAME, PoisonCommandCodec.acquire(fingerprint, request), CLAIM_TIMEOUT)
			.thenApply((result) -> result.flatMap(PoisonAnswerCodec::decodeIsolation));
	}

	@Override
	public void releaseIsolation(ReleaseIsolation command) {
		proposeAndLogFailure("release-isolation", ReplicatedPoison.NAME,
				PoisonCommandCodec.release(command.fingerprint(), command.request(), command.end()));
	}

	@Override
	public CompletionStage<Result<Boolean>> recordCrash(CrashReport report) {
		return propose(ReplicatedPoison.NAME, PoisonCommandCodec.recordCrash(report), RECORD_TIMEOUT)
			.thenApply((result) -> result.map((answer) -> true));
	}

	@Override
	public CompletionStage<FlightPermit> requestFlightPermit(Fingerprint fingerprint, RequestId request,
			boolean cleared) {
		return this.control
			.callInstance(fingerprint.hashCode(), ControlMethods.REQUEST_FLIGHT_PERMIT,
					flightRequest(fingerprint, request).toBuilder().setCleared(cleared).build(), FLIGHT_TIMEOUT)
			.thenApply((result) -> result.value()
				.map((reply) -> FlightPermit.valueOf(reply.getPermit()))
				.orElse(FlightPermit.GO));
	}

	@Override
	public CompletionStage<Result<LeaseGrant>> requestLease(SendLeaseRequest command) {
		LeaseCall call = LeaseCodec.encode(command.grantor(), command.request());
		CompletableFuture<Result<LeaseReply>> reply = (command.grantor() == GrantorRole.PRIMARY)
				? this.control.callLeader(ControlMethods.LEASE, call, LEASE_TIMEOUT)
				: this.control.callReserveGrantor(ControlMethods.LEASE, call, LEASE_TIMEOUT);
		return reply.thenApply((result) -> result.map(LeaseCodec::decode));
	}

	@Override
	public void reportFlightEnd(Fingerprint fingerprint, RequestId request, FlightEnd end) {
		FlightEndRequest ended = FlightEndRequest.newBuilder()
			.setFlight(flightRequest(fingerprint, request))
			.setEnd(end.name())
			.build();
		this.control.callInstance(fingerprint.hashCode(), ControlMethods.REPORT_FLIGHT_END, ended, FLIGHT_TIMEOUT);
	}

	private void proposeAndLogFailure(String operation, String ledger, Bytes command) {
		propose(ledger, command, RECORD_TIMEOUT).thenAccept((result) -> result.error()
			.ifPresent((error) -> LOG.error("record-failed", Field.of("record", operation),
					Field.of("error", error.message()))));
	}

	private CompletableFuture<Result<Bytes>> propose(String ledger, Bytes command, Duration timeout) {
		return this.control.propose(new LedgerCommand(ledger, command).encode(), timeout);
	}

	private static FlightRequest flightRequest(Fingerprint fingerprint, RequestId request) {
		return FlightRequest.newBuilder()
			.setAccount(fingerprint.account().value())
			.setService(fingerprint.service().value())
			.setBodyDigest(fingerprint.bodyDigest())
			.setRequest(request.value())
			.build();
	}

}
