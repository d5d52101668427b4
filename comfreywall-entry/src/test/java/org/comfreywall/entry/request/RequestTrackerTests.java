package org.comfreywall.entry.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.claim.ClaimCompleted;
import org.comfreywall.common.claim.ClaimFound;
import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimMismatch;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimUnknown;
import org.comfreywall.common.claim.NotRunEvidence;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestTracker}.
 */
class RequestTrackerTests {

	private static final RequestId REQUEST = RequestId.of("r");

	private static final RequestId EARLIER = RequestId.of("earlier");

	private static final BackendServerId SERVER = BackendServerId.of("booking-1");

	private static final Incarnation INCARNATION = Incarnation.of(3);

	private static final AttemptTarget TARGET = new AttemptTarget(SERVER, INCARNATION, 5);

	private static final AttemptTarget OTHER_TARGET = new AttemptTarget(BackendServerId.of("booking-2"), INCARNATION,
			5);

	private static final Fingerprint FINGERPRINT = new Fingerprint(AccountId.of("farm"), ServiceId.of("booking"),
			"digest");

	private static final ClaimKey KEY = new ClaimKey(FINGERPRINT.account(), FINGERPRINT.service(),
			IdempotencyKey.of("k"));

	private static final AnswerPart HEAD = new AnswerHead(200, "text/plain");

	private static final AnswerPart CHUNK = new AnswerChunk(Bytes.ofText("booked"));

	private static final AnswerPart END = new AnswerEnd();

	private static final RecordedAnswer ANSWER = new RecordedAnswer(200, "text/plain", Bytes.ofText("booked"));

	private static final long DEADLINE = Duration.ofSeconds(30).toNanos();

	private static final OperationError UNAVAILABLE = OperationError.local(ErrorCode.UNAVAILABLE, Step.ROUTE, "none");

	private final RequestTracker tracker = new RequestTracker(RequestTrackerSettings.DEFAULT,
			(query) -> (query.attempts() < 3) ? RetryDecision.after(Duration.ZERO) : RetryDecision.stop("attempts"),
			new Invariants(), DecisionListener.NONE);

	private long now;

	private List<RequestCommand> acceptBooking() {
		return accept(Optional.of(IdempotencyKey.of("k")), false, true, PoisonVerdict.CLEAR);
	}

	private List<RequestCommand> acceptLookup(PoisonVerdict verdict) {
		return accept(Optional.empty(), true, true, verdict);
	}

	private List<RequestCommand> accept(Optional<IdempotencyKey> key, boolean idempotent, boolean keyRequired,
			PoisonVerdict verdict) {
		RequestSpec spec = new RequestSpec(REQUEST, FINGERPRINT, key, idempotent, keyRequired);
		return handle(new RequestAccepted(spec, DEADLINE, verdict));
	}

	private void sendBooking() {
		acceptBooking();
		handle(new RouteChosen(REQUEST, TARGET));
		claimed(TARGET, new ClaimGranted(running(REQUEST, TARGET)));
		permit(FlightPermit.GO);
	}

	private void sendLookup() {
		acceptLookup(PoisonVerdict.CLEAR);
		handle(new RouteChosen(REQUEST, TARGET));
		permit(FlightPermit.GO);
	}

	private List<RequestCommand> permit(FlightPermit permit) {
		return handle(new FlightAnswered(REQUEST, permit));
	}

	private List<RequestCommand> findClaim(ClaimResult result) {
		acceptBooking();
		handle(new RouteChosen(REQUEST, TARGET));
		return claimed(TARGET, result);
	}

	private List<RequestCommand> claimed(AttemptTarget target, ClaimResult result) {
		return handle(new ClaimAnswered(REQUEST, target, result));
	}

	private List<RequestCommand> part(RequestId request, long sequence, AnswerPart part) {
		return handle(new PartReceived(new AttemptId(request, 1), SERVER, INCARNATION, sequence, part));
	}

	private List<RequestCommand> end(AttemptEnd end, int crash) {
		return handle(new EndReceived(attempt(1), SERVER, INCARNATION, end, crash));
	}

	private List<RequestCommand> refuse(AttemptRefusal refusal) {
		return handle(new RefusalReceived(attempt(1), SERVER, INCARNATION, refusal));
	}

	private List<RequestCommand> passTime(Duration duration) {
		this.now += duration.toNanos();
		return handle(new TimePassed());
	}

	private List<RequestCommand> handle(RequestEvent event) {
		return this.tracker.handle(event, this.now);
	}

	private static Optional<Outcome> outcome(List<RequestCommand> commands) {
		return commands.stream()
			.filter(CompleteRequest.class::isInstance)
			.map((command) -> ((CompleteRequest) command).outcome())
			.findFirst();
	}

	private static AttemptId attempt(int number) {
		return new AttemptId(REQUEST, number);
	}

	private static ClaimRunning running(RequestId owner, AttemptTarget target) {
		return new ClaimRunning(owner, target.backendServer(), target.incarnation());
	}

	private static ReleaseClaim release(NotRunEvidence evidence, RequestId owner) {
		return new ReleaseClaim(KEY, new NotRunProof(evidence, owner, SERVER, INCARNATION));
	}

	private static SendStart start(int number, AttemptTarget target, boolean idempotent, boolean isolated) {
		return new SendStart(attempt(number), target,
				new AttemptTraits(FINGERPRINT, idempotent, !idempotent, isolated));
	}

	@Nested
	class Claims {

		@Test
		void sendsOnlyAfterClaimIsGranted() {
			assertThat(acceptBooking()).containsExactly(new ChooseRoute(REQUEST, Set.of(), false));
			assertThat(handle(new RouteChosen(REQUEST, TARGET)))
				.containsExactly(new AcquireClaim(REQUEST, KEY, "digest", TARGET));
			assertThat(claimed(TARGET, new ClaimGranted(running(REQUEST, TARGET))))
				.containsExactly(new RequestFlightPermit(REQUEST, FINGERPRINT, false));
			assertThat(permit(FlightPermit.GO)).containsExactly(start(1, TARGET, false, false));
		}

		@Test
		void rejectsRequestWithoutKeyIfServiceRequiresOne() {
			assertThat(outcome(accept(Optional.empty(), false, true, PoisonVerdict.CLEAR))).contains(Outcome.NOT_RUN);
		}

		@Test
		void recordsCompleteAnswerWithClaim() {
			sendBooking();
			assertThat(part(REQUEST, 0, HEAD)).containsExactly(new DeliverPart(REQUEST, HEAD));
			part(REQUEST, 1, CHUNK);
			assertThat(part(REQUEST, 2, END)).containsExactly(new DeliverPart(REQUEST, END),
					new FinishClaim(KEY, REQUEST, ANSWER),
					new CompleteRequest(REQUEST, Outcome.COMPLETED, Optional.empty()),
					new ReportFlightEnd(REQUEST, FINGERPRINT, FlightEnd.SURVIVED));
		}

		@Test
		void deliversRecordedAnswerToResentRequest() {
			List<RequestCommand> commands = findClaim(new ClaimFound(new ClaimCompleted(EARLIER, ANSWER)));
			assertThat(commands).contains(new DeliverPart(REQUEST, CHUNK));
			assertThat(outcome(commands)).contains(Outcome.COMPLETED);
		}

		@Test
		void reportsUnknownIfEarlierRequestMayHaveRun() {
			assertThat(outcome(findClaim(new ClaimFound(new ClaimUnknown(EARLIER))))).contains(Outcome.UNKNOWN);
		}

		@Test
		void rejectsKeyUsedWithOtherBody() {
			assertThat(outcome(findClaim(new ClaimMismatch()))).contains(Outcome.NOT_RUN);
		}

		@Test
		void reportsUnknownIfClaimFailsBecauseEarlierRequestMayHaveRun() {
			acceptBooking();
			handle(new RouteChosen(REQUEST, TARGET));
			List<RequestCommand> commands = handle(new ClaimFailed(REQUEST, UNAVAILABLE));
			assertThat(outcome(commands)).contains(Outcome.UNKNOWN);
			assertThat(commands).contains(release(NotRunEvidence.NEVER_SENT, REQUEST));
		}

		@Test
		void ignoresGrantAfterRequestEnded() {
			acceptBooking();
			handle(new RouteChosen(REQUEST, TARGET));
			handle(new ClaimFailed(REQUEST, UNAVAILABLE));
			assertThat(claimed(TARGET, new ClaimGranted(running(REQUEST, TARGET)))).isEmpty();
		}

	}

	@Nested
	class Joining {

		@Test
		void followsRunningAttemptOfEarlierRequest() {
			assertThat(findClaim(new ClaimFound(running(EARLIER, TARGET))))
				.containsExactly(new SendClaimQuery(EARLIER, SERVER, INCARNATION));
			part(EARLIER, 0, HEAD);
			assertThat(part(EARLIER, 1, CHUNK)).containsExactly(new DeliverPart(REQUEST, CHUNK));
			assertThat(part(EARLIER, 2, END)).contains(new FinishClaim(KEY, EARLIER, ANSWER));
		}

		@Test
		void runsRequestItselfWhenEarlierRequestWasSealed() {
			findClaim(new ClaimFound(running(EARLIER, TARGET)));
			assertThat(handle(new SealedReceived(AttemptTarget.everyAttemptOf(EARLIER), SERVER, INCARNATION)))
				.containsExactly(release(NotRunEvidence.SEALED, EARLIER), new ChooseRoute(REQUEST, Set.of(), false));
		}

		@Test
		void reportsUnknownWhenSidecarHasRestarted() {
			findClaim(new ClaimFound(running(EARLIER, TARGET)));
			List<RequestCommand> commands = handle(new RefusalReceived(AttemptTarget.everyAttemptOf(EARLIER), SERVER,
					INCARNATION, AttemptRefusal.OTHER_INCARNATION));
			assertThat(commands).contains(new MarkClaimUnknown(KEY, EARLIER));
			assertThat(outcome(commands)).contains(Outcome.UNKNOWN);
		}

	}

	@Nested
	class Proofs {

		@Test
		void movesClaimToOtherServerAfterProofThatAttemptDidNotRun() {
			sendBooking();
			assertThat(refuse(AttemptRefusal.DRAINING)).containsExactly(release(NotRunEvidence.SEALED, REQUEST),
					new ChooseRoute(REQUEST, Set.of(SERVER), false));
			handle(new RouteChosen(REQUEST, OTHER_TARGET));
			assertThat(claimed(OTHER_TARGET, new ClaimGranted(running(REQUEST, OTHER_TARGET))))
				.containsExactly(start(2, OTHER_TARGET, false, false));
		}

		@Test
		void sendsRequestWithoutKeyOnlyOnce() {
			accept(Optional.empty(), false, false, PoisonVerdict.CLEAR);
			handle(new RouteChosen(REQUEST, TARGET));
			permit(FlightPermit.GO);
			assertThat(outcome(refuse(AttemptRefusal.BUSY))).contains(Outcome.NOT_RUN);
		}

		@Test
		void reportsUnknownWhenSidecarIsLost() {
			sendBooking();
			assertThat(outcome(handle(new SidecarLost(SERVER, INCARNATION)))).contains(Outcome.UNKNOWN);
		}

		@Test
		void sealsAttemptAtDeadlineBeforeReportingNotRun() {
			sendBooking();
			assertThat(passTime(Duration.ofSeconds(30))).containsExactly(new SendSeal(attempt(1), TARGET));
			ReleaseClaim release = release(NotRunEvidence.SEALED, REQUEST);
			assertThat(handle(new SealedReceived(attempt(1), SERVER, INCARNATION))).containsExactly(release);
			assertThat(outcome(handle(new ClaimReleased(release.proof(), true)))).contains(Outcome.NOT_RUN);
		}

		@Test
		void reportsUnknownWhenClaimWasNoLongerHeldAtRelease() {
			sendBooking();
			passTime(Duration.ofSeconds(30));
			handle(new SealedReceived(attempt(1), SERVER, INCARNATION));
			ReleaseClaim release = release(NotRunEvidence.SEALED, REQUEST);
			assertThat(outcome(handle(new ClaimReleased(release.proof(), false)))).contains(Outcome.UNKNOWN);
		}

		@Test
		void reportsUnknownWhenSealTimesOut() {
			sendBooking();
			passTime(Duration.ofSeconds(30));
			assertThat(outcome(passTime(Duration.ofSeconds(1)))).contains(Outcome.UNKNOWN);
		}

		@Test
		void recordsAnswerAfterCallerCancelled() {
			sendBooking();
			part(REQUEST, 0, HEAD);
			assertThat(outcome(handle(new CallerCancelled(REQUEST)))).contains(Outcome.UNKNOWN);
			part(REQUEST, 1, CHUNK);
			assertThat(part(REQUEST, 2, END)).containsExactly(new FinishClaim(KEY, REQUEST, ANSWER),
					new ReportFlightEnd(REQUEST, FINGERPRINT, FlightEnd.SURVIVED));
			assertThat(RequestTrackerTests.this.tracker.size()).isZero();
		}

		@Test
		void ignoresSealOfOtherAttempt() {
			sendLookup();
			assertThat(handle(new SealedReceived(attempt(2), SERVER, INCARNATION))).isEmpty();
		}

	}

	@Nested
	class PartsAndConnections {

		@Test
		void ignoresDuplicatePart() {
			sendLookup();
			part(REQUEST, 0, HEAD);
			assertThat(part(REQUEST, 0, HEAD)).isEmpty();
		}

		@Test
		void requestsMissingPartOnce() {
			sendLookup();
			part(REQUEST, 0, HEAD);
			assertThat(part(REQUEST, 2, END)).containsExactly(new SendResume(attempt(1), SERVER, INCARNATION, 1));
			assertThat(part(REQUEST, 2, END)).isEmpty();
			assertThat(part(REQUEST, 1, CHUNK)).containsExactly(new DeliverPart(REQUEST, CHUNK));
		}

		@Test
		void ignoresPartOfOtherIncarnationOrAttempt() {
			sendLookup();
			assertThat(handle(new PartReceived(attempt(1), SERVER, Incarnation.of(2), 0, HEAD))).isEmpty();
			assertThat(handle(new PartReceived(attempt(2), SERVER, INCARNATION, 0, HEAD))).isEmpty();
			assertThat(handle(new PartReceived(attempt(1), OTHER_TARGET.backendServer(), INCARNATION, 0, HEAD)))
				.isEmpty();
		}

		@Test
		void resumesAtNextPartOnNewConnection() {
			sendLookup();
			part(REQUEST, 0, HEAD);
			assertThat(handle(new ConnectionLost(SERVER, INCARNATION))).isEmpty();
			assertThat(handle(new ConnectionRestored(SERVER, INCARNATION)))
				.containsExactly(new SendResume(attempt(1), SERVER, INCARNATION, 1));
		}

		@Test
		void sealsAttemptWhenStartMayBeLostWithConnection() {
			sendBooking();
			handle(new ConnectionLost(SERVER, INCARNATION));
			assertThat(handle(new ConnectionRestored(SERVER, INCARNATION)))
				.containsExactly(new SendSeal(attempt(1), TARGET));
		}

		@Test
		void probesConnectionWithoutProgress() {
			sendLookup();
			assertThat(passTime(Duration.ofSeconds(2))).containsExactly(new ProbeConnection(SERVER, INCARNATION));
		}

	}

	@Nested
	class Crashes {

		@Test
		void retriesIdempotentRequestOnlyIsolatedAfterCrash() {
			sendLookup();
			assertThat(end(AttemptEnd.CRASHED, 1)).hasOnlyElementsOfType(RecordCrash.class);
			assertThat(handle(new CrashRecorded(REQUEST))).containsExactly(
					new ReportFlightEnd(REQUEST, FINGERPRINT, FlightEnd.LOST),
					new AcquireIsolation(REQUEST, FINGERPRINT));
			isolation(IsolationResult.GRANTED);
			assertThat(handle(new RouteChosen(REQUEST, OTHER_TARGET)))
				.containsExactly(start(2, OTHER_TARGET, true, true));
		}

		@Test
		void neverRunsBookingAgainAfterCrash() {
			sendBooking();
			List<RequestCommand> commands = end(AttemptEnd.CRASHED, 1);
			assertThat(outcome(commands)).contains(Outcome.UNKNOWN);
			assertThat(commands).contains(new MarkClaimUnknown(KEY, REQUEST));
		}

		@Test
		void reportsCrashToGuardOnceItIsRecorded() {
			sendBooking();
			assertThat(end(AttemptEnd.CRASHED, 1)).noneMatch(ReportFlightEnd.class::isInstance);
			assertThat(handle(new CrashRecorded(REQUEST)))
				.containsExactly(new ReportFlightEnd(REQUEST, FINGERPRINT, FlightEnd.LOST));
			assertThat(RequestTrackerTests.this.tracker.size()).isZero();
		}

		@Test
		void keepsClaimWhileWaitingForIsolation() {
			acceptBooking();
			handle(new RouteChosen(REQUEST, TARGET));
			claimed(TARGET, new ClaimGranted(running(REQUEST, TARGET)));
			assertThat(permit(FlightPermit.SUSPECT)).containsExactly(new AcquireIsolation(REQUEST, FINGERPRINT));
			assertThat(isolation(IsolationResult.GRANTED)).containsExactly(start(1, TARGET, false, true));
		}

		@Test
		void pollsGuardDuringFirstRun() {
			acceptLookup(PoisonVerdict.CLEAR);
			handle(new RouteChosen(REQUEST, TARGET));
			assertThat(permit(FlightPermit.WAIT)).isEmpty();
			assertThat(passTime(Duration.ofMillis(50)))
				.containsExactly(new RequestFlightPermit(REQUEST, FINGERPRINT, false));
		}

		@Test
		void notifiesGuardOnceThatLedgerClearedTheFingerprint() {
			acceptLookup(PoisonVerdict.SUSPECT);
			isolation(IsolationResult.NOT_SUSPECTED);
			assertThat(handle(new RouteChosen(REQUEST, TARGET)))
				.containsExactly(new RequestFlightPermit(REQUEST, FINGERPRINT, true));
			permit(FlightPermit.WAIT);
			assertThat(passTime(Duration.ofMillis(50)))
				.containsExactly(new RequestFlightPermit(REQUEST, FINGERPRINT, false));
		}

		@Test
		void pollsForIsolationWhileSlotIsTaken() {
			acceptLookup(PoisonVerdict.SUSPECT);
			assertThat(isolation(IsolationResult.WAIT)).isEmpty();
			assertThat(passTime(Duration.ofMillis(500))).containsExactly(new AcquireIsolation(REQUEST, FINGERPRINT));
		}

		@Test
		void releasesSlotAfterIsolatedRun() {
			acceptLookup(PoisonVerdict.SUSPECT);
			isolation(IsolationResult.GRANTED);
			handle(new RouteChosen(REQUEST, TARGET));
			part(REQUEST, 0, HEAD);
			assertThat(part(REQUEST, 1, END))
				.contains(new ReleaseIsolation(REQUEST, FINGERPRINT, IsolationEnd.SURVIVED));
		}

		@Test
		void releasesSlotGrantedAfterRequestEnded() {
			acceptLookup(PoisonVerdict.SUSPECT);
			handle(new CallerCancelled(REQUEST));
			assertThat(isolation(IsolationResult.GRANTED))
				.containsExactly(new ReleaseIsolation(REQUEST, FINGERPRINT, IsolationEnd.NOT_RUN));
		}

		@Test
		void rejectsQuarantinedRequest() {
			assertThat(outcome(acceptLookup(PoisonVerdict.QUARANTINED))).contains(Outcome.NOT_RUN);
		}

		private List<RequestCommand> isolation(IsolationResult result) {
			return handle(new IsolationAnswered(REQUEST, FINGERPRINT, result));
		}

	}

}
