package org.comfreywall.sidecar.attempt;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AttemptRegistry}.
 */
class AttemptRegistryTests {

	private static final BackendServerId SERVER = BackendServerId.of("booking-1");

	private static final Incarnation INCARNATION = Incarnation.of(3);

	private static final EntryLink LINK = new EntryLink(InstanceId.of("entry-1"), 1);

	private static final EntryLink OTHER_LINK = new EntryLink(InstanceId.of("entry-2"), 2);

	private static final AnswerPart HEAD = new AnswerHead(200, "text/plain");

	private static final AnswerPart CHUNK = new AnswerChunk(Bytes.ofText("booked"));

	private static final AnswerPart END = new AnswerEnd();

	private static final long WINDOW_NANOS = 10;

	private static final AttemptRegistrySettings SETTINGS = new AttemptRegistrySettings(Duration.ofNanos(WINDOW_NANOS),
			2, Duration.ofNanos(1000), Duration.ofNanos(50), 4, 6, 3, 14);

	private final AttemptRegistry registry = new AttemptRegistry(SERVER, INCARNATION, SETTINGS, new Invariants(),
			DecisionListener.NONE, 0);

	private long now;

	private List<AttemptCommand> startBooking(String request) {
		return start(request, 1, booking(request));
	}

	private List<AttemptCommand> startLookup(String request, int number) {
		return start(request, number, lookup(request, false));
	}

	private List<AttemptCommand> start(String request, int number, AttemptTraits traits) {
		return handle(new StartReceived(attempt(request, number), target(this.registry.window()), traits, LINK));
	}

	private List<AttemptCommand> answer(String request) {
		handle(new PartProduced(attempt(request, 1), HEAD));
		handle(new PartProduced(attempt(request, 1), CHUNK));
		return handle(new PartProduced(attempt(request, 1), END));
	}

	private List<AttemptCommand> seal(String request, int number, long window) {
		return handle(new SealReceived(attempt(request, number), target(window), LINK));
	}

	private List<AttemptCommand> query(String request) {
		return handle(new ClaimQueryReceived(RequestId.of(request), INCARNATION, OTHER_LINK));
	}

	private List<AttemptCommand> handle(AttemptEvent event) {
		return this.registry.handle(event, this.now);
	}

	private List<AttemptCommand> advanceWindows(int count) {
		this.now += count * WINDOW_NANOS;
		return handle(new TimePassed());
	}

	private static Optional<AttemptRefusal> refusal(List<AttemptCommand> commands) {
		return commands.stream()
			.filter(SendRefusal.class::isInstance)
			.map((command) -> ((SendRefusal) command).refusal())
			.findFirst();
	}

	private static StartRun run(String request) {
		return new StartRun(attempt(request, 1));
	}

	private static SendPart part(EntryLink link, String request, long sequence, AnswerPart part) {
		return new SendPart(link, attempt(request, 1), INCARNATION, sequence, part);
	}

	private static SendSealed sealed(EntryLink link, String request) {
		return new SendSealed(link, attempt(request, 1), INCARNATION);
	}

	private static AttemptId attempt(String request, int number) {
		return new AttemptId(RequestId.of(request), number);
	}

	private static AttemptTarget target(long window) {
		return new AttemptTarget(SERVER, INCARNATION, window);
	}

	private static AttemptTraits booking(String body) {
		return new AttemptTraits(fingerprint(body), false, true, false);
	}

	private static AttemptTraits lookup(String body, boolean isolated) {
		return new AttemptTraits(fingerprint(body), true, false, isolated);
	}

	private static Fingerprint fingerprint(String body) {
		return new Fingerprint(AccountId.of("farm"), ServiceId.of("booking"), body);
	}

	@Nested
	class Starting {

		@Test
		void runsNewAttempt() {
			assertThat(startBooking("r")).containsExactly(run("r"));
		}

		@Test
		void runsDuplicatedAttemptOnce() {
			startBooking("r");
			assertThat(startBooking("r")).isEmpty();
			answer("r");
			assertThat(startBooking("r")).doesNotContain(run("r")).contains(part(LINK, "r", 2, END));
		}

		@Test
		void refusesAttemptForOtherIncarnationWithoutProvingThatItDidNotRun() {
			AttemptTarget previousIncarnation = new AttemptTarget(SERVER, Incarnation.of(2), 0);
			List<AttemptCommand> commands = handle(
					new StartReceived(attempt("r", 1), previousIncarnation, booking("r"), LINK));
			assertThat(refusal(commands)).contains(AttemptRefusal.OTHER_INCARNATION);
			assertThat(AttemptRefusal.OTHER_INCARNATION.provesNotRun()).isFalse();
		}

		@Test
		void refusesSecondAttemptOfNonIdempotentRequest() {
			startBooking("r");
			handle(new BackendCrashed());
			assertThat(refusal(start("r", 2, booking("r")))).contains(AttemptRefusal.ALREADY_RUNNING);
		}

		@Test
		void runsRetryOfIdempotentRequest() {
			startLookup("r", 1);
			handle(new BackendCrashed());
			assertThat(startLookup("r", 2)).containsExactly(new StartRun(attempt("r", 2)));
		}

		@Test
		void refusesLaterDuplicateOfAttemptRefusedAsBusy() {
			startBooking("a");
			startBooking("b");
			startBooking("c");
			assertThat(refusal(startBooking("d"))).contains(AttemptRefusal.BUSY);
			answer("a");
			assertThat(refusal(startBooking("d"))).contains(AttemptRefusal.SEALED);
		}

		@Test
		void sealsAttemptThatBackendServerDidNotReceive() {
			startBooking("r");
			assertThat(refusal(handle(new RunRefused(attempt("r", 1))))).contains(AttemptRefusal.BACKEND_UNREACHABLE);
			assertThat(refusal(startBooking("r"))).contains(AttemptRefusal.SEALED);
		}

	}

	@Nested
	class Sealing {

		@Test
		void refusesLateDuplicateOfSealedAttempt() {
			assertThat(seal("r", 1, 0)).containsExactly(sealed(LINK, "r"));
			assertThat(refusal(startBooking("r"))).contains(AttemptRefusal.SEALED);
		}

		@Test
		void doesNotSealAttemptThatStarted() {
			startBooking("r");
			assertThat(handle(new SealReceived(attempt("r", 1), target(0), OTHER_LINK)))
				.containsExactly(new SendStarted(OTHER_LINK, attempt("r", 1), INCARNATION));
		}

		@Test
		void sealsSecondAttemptAfterSealedFirst() {
			seal("r", 1, 0);
			seal("r", 2, 0);
			assertThat(refusal(startLookup("r", 2))).contains(AttemptRefusal.SEALED);
		}

		@Test
		void doesNotConfirmThatAttemptBeforeRetryDidNotRun() {
			startLookup("r", 1);
			handle(new BackendCrashed());
			seal("r", 2, 0);
			assertThat(refusal(seal("r", 1, 0))).contains(AttemptRefusal.ALREADY_RUNNING);
			assertThat(refusal(startLookup("r", 1))).contains(AttemptRefusal.ALREADY_RUNNING);
		}

		@Test
		void cancelReceivedBeforeStartSealsAttempt() {
			handle(new CancelReceived(attempt("r", 1), INCARNATION));
			assertThat(refusal(startLookup("r", 1))).contains(AttemptRefusal.SEALED);
		}

		@Test
		void closesWindowWhenSealCannotBeStored() {
			List.of("a", "b", "c", "d").forEach((request) -> seal(request, 1, 0));
			long window = AttemptRegistryTests.this.registry.window();
			assertThat(seal("e", 1, window)).containsExactly(sealed(LINK, "e"));
			advanceWindows(4);
			List<AttemptCommand> late = handle(new StartReceived(attempt("e", 1), target(window), booking("e"), LINK));
			assertThat(refusal(late)).isPresent();
		}

	}

	@Nested
	class Retention {

		@Test
		void refusesUnknownAttemptOfExpiredWindowAsStale() {
			startLookup("r", 1);
			answer("r");
			advanceWindows(3);
			assertThat(refusal(seal("r", 1, 0))).contains(AttemptRefusal.STALE_WINDOW);
			assertThat(refusal(handle(new StartReceived(attempt("r", 1), target(0), lookup("r", false), LINK))))
				.contains(AttemptRefusal.STALE_WINDOW);
		}

		@Test
		void keepsClaimedRequestForClaimRetention() {
			startBooking("r");
			answer("r");
			advanceWindows(50);
			assertThat(query("r")).containsExactly(new SendEnd(OTHER_LINK,
					new AttemptId(RequestId.of("r"), Integer.MAX_VALUE), INCARNATION, AttemptEnd.ANSWER_DROPPED, 0));
		}

		@Test
		void dropsOldestAnswersAboveMaxStoredBytes() {
			for (String request : List.of("a", "b", "c")) {
				startBooking(request);
				answer(request);
			}
			assertThat(query("a"))
				.containsExactly(new SendEnd(OTHER_LINK, attempt("a", 1), INCARNATION, AttemptEnd.ANSWER_DROPPED, 0));
			assertThat(query("c")).contains(part(OTHER_LINK, "c", 1, CHUNK));
		}

	}

	@Nested
	class Resuming {

		@Test
		void followsRunningAttemptFromFirstPart() {
			startBooking("r");
			handle(new PartProduced(attempt("r", 1), HEAD));
			assertThat(query("r")).containsExactly(new SendStarted(OTHER_LINK, attempt("r", 1), INCARNATION),
					part(OTHER_LINK, "r", 0, HEAD));
			assertThat(handle(new PartProduced(attempt("r", 1), CHUNK))).containsExactly(part(LINK, "r", 1, CHUNK),
					part(OTHER_LINK, "r", 1, CHUNK));
		}

		@Test
		void sealsClaimedRequestThatWasNotReceived() {
			assertThat(query("r")).containsExactly(
					new SendSealed(OTHER_LINK, AttemptTarget.everyAttemptOf(RequestId.of("r")), INCARNATION));
			assertThat(refusal(startBooking("r"))).contains(AttemptRefusal.SEALED);
		}

		@Test
		void resumesWithoutMissingOrRepeatedPart() {
			startBooking("r");
			handle(new PartProduced(attempt("r", 1), HEAD));
			handle(new LinkLost(LINK));
			handle(new PartProduced(attempt("r", 1), CHUNK));
			List<AttemptCommand> resumed = handle(new ResumeReceived(attempt("r", 1), INCARNATION, 1, OTHER_LINK));
			assertThat(resumed).containsExactly(new SendStarted(OTHER_LINK, attempt("r", 1), INCARNATION),
					part(OTHER_LINK, "r", 1, CHUNK));
			assertThat(handle(new PartProduced(attempt("r", 1), END))).containsExactly(part(OTHER_LINK, "r", 2, END));
		}

		@Test
		void cancelsOrphanedAttemptOnlyIfIdempotent() {
			startBooking("booking");
			startLookup("lookup", 1);
			handle(new LinkLost(LINK));
			assertThat(advanceWindows(5)).containsExactly(new CancelRun(attempt("lookup", 1)));
		}

	}

	@Nested
	class Crashing {

		@Test
		void reportsAllRunningRequestsAfterCrash() {
			startBooking("a");
			startBooking("b");
			List<AttemptCommand> commands = handle(new BackendCrashed());
			ReportCrash report = (ReportCrash) commands.get(0);
			assertThat(report.report().inFlight()).containsExactly(fingerprint("a"), fingerprint("b"));
			assertThat(report.report().isolated()).isFalse();
			assertThat(commands).contains(new SendEnd(LINK, attempt("a", 1), INCARNATION, AttemptEnd.CRASHED, 1));
		}

		@Test
		void runsIsolatedAttemptAlone() {
			startLookup("a", 1);
			assertThat(start("suspect", 1, lookup("suspect", true))).isEmpty();
			assertThat(refusal(startLookup("b", 1))).contains(AttemptRefusal.BUSY);
			assertThat(answer("a")).contains(run("suspect"));
			assertThat(refusal(startLookup("b", 2))).contains(AttemptRefusal.BUSY);
			ReportCrash report = (ReportCrash) handle(new BackendCrashed()).get(0);
			assertThat(report.report().isolated()).isTrue();
			assertThat(startLookup("d", 1)).containsExactly(run("d"));
		}

	}

	@Nested
	class Draining {

		@Test
		void refusesNewAttemptsAndFinishesRunningOnes() {
			startBooking("r");
			assertThat(handle(new DrainStarted())).isEmpty();
			assertThat(refusal(startBooking("s"))).contains(AttemptRefusal.DRAINING);
			assertThat(AttemptRefusal.DRAINING.provesNotRun()).isTrue();
			assertThat(answer("r")).containsExactly(part(LINK, "r", 2, END), new FinishDrain());
		}

		@Test
		void waitsForDisconnectedEntryToResume() {
			startBooking("r");
			handle(new LinkLost(LINK));
			handle(new DrainStarted());
			assertThat(answer("r")).isEmpty();
			assertThat(handle(new ResumeReceived(attempt("r", 1), INCARNATION, 0, OTHER_LINK)))
				.endsWith(part(OTHER_LINK, "r", 2, END), new FinishDrain());
		}

	}

}
