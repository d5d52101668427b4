package org.comfreywall.control.ledger;

import java.time.Duration;

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
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClaimLedger}.
 */
class ClaimLedgerTests {

	private static final RequestId FIRST = RequestId.of("first");

	private static final RequestId SECOND = RequestId.of("second");

	private static final BackendServerId BOOKING_1 = BackendServerId.of("booking-1");

	private static final BackendServerId BOOKING_2 = BackendServerId.of("booking-2");

	private static final Incarnation INCARNATION = Incarnation.of(7);

	private static final RecordedAnswer ANSWER = answer("booked");

	private final ClaimLedger ledger = new ClaimLedger(new ClaimLedgerSettings(Duration.ofNanos(100), 3, 10, 16));

	private ClaimResult claim(String key, RequestId owner, long now) {
		return this.ledger.claim(key(key), "digest", owner, BOOKING_1, INCARNATION, now).value().orElseThrow();
	}

	private static ClaimRunning running(RequestId owner) {
		return new ClaimRunning(owner, BOOKING_1, INCARNATION);
	}

	private static NotRunProof proof(RequestId owner, BackendServerId server) {
		return new NotRunProof(NotRunEvidence.SEALED, owner, server, INCARNATION);
	}

	private static RecordedAnswer answer(String text) {
		return new RecordedAnswer(200, "text/plain", Bytes.ofText(text));
	}

	private static ClaimKey key(String key) {
		return new ClaimKey(AccountId.of("farm"), ServiceId.of("booking"), IdempotencyKey.of(key));
	}

	@Nested
	class Claiming {

		@Test
		void grantsUnclaimedKey() {
			assertThat(claim("k", FIRST, 0)).isEqualTo(new ClaimGranted(running(FIRST)));
		}

		@Test
		void grantsRepeatedCallOfSameOwnerAgain() {
			claim("k", FIRST, 0);
			assertThat(claim("k", FIRST, 1)).isEqualTo(new ClaimGranted(running(FIRST)));
		}

		@Test
		void returnsRunningClaimToOtherRequest() {
			claim("k", FIRST, 0);
			assertThat(claim("k", SECOND, 1)).isEqualTo(new ClaimFound(running(FIRST)));
		}

		@Test
		void refusesSecondBackendServerForSameOwner() {
			claim("k", FIRST, 0);
			ClaimResult result = ClaimLedgerTests.this.ledger
				.claim(key("k"), "digest", FIRST, BOOKING_2, INCARNATION, 1)
				.value()
				.orElseThrow();
			assertThat(result).isEqualTo(new ClaimFound(running(FIRST)));
		}

		@Test
		void rejectsKeyUsedWithOtherBody() {
			claim("k", FIRST, 0);
			ClaimResult result = ClaimLedgerTests.this.ledger
				.claim(key("k"), "other", SECOND, BOOKING_1, INCARNATION, 1)
				.value()
				.orElseThrow();
			assertThat(result).isEqualTo(new ClaimMismatch());
		}

		@Test
		void refusesNewKeyWhenFull() {
			claim("a", FIRST, 0);
			claim("b", FIRST, 0);
			claim("c", FIRST, 0);
			OperationError error = ClaimLedgerTests.this.ledger
				.claim(key("d"), "digest", FIRST, BOOKING_1, INCARNATION, 1)
				.error()
				.orElseThrow();
			assertThat(error.code()).isEqualTo(ErrorCode.OVERLOADED);
			assertThat(ClaimLedgerTests.this.ledger.size()).isEqualTo(3);
		}

		@Test
		void expiresClaimAfterRetention() {
			claim("k", FIRST, 0);
			assertThat(claim("k", SECOND, 99)).isEqualTo(new ClaimFound(running(FIRST)));
			assertThat(claim("k", SECOND, 100)).isEqualTo(new ClaimGranted(running(SECOND)));
		}

		@Test
		void ignoresLogTimeThatMovesBackward() {
			claim("k", FIRST, 50);
			claim("l", FIRST, 20);
			assertThat(claim("l", SECOND, 149)).isEqualTo(new ClaimFound(running(FIRST)));
		}

	}

	@Nested
	class Finishing {

		@Test
		void returnsRecordedAnswer() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.recordAnswer(key("k"), FIRST, ANSWER, 1);
			assertThat(claim("k", SECOND, 2)).isEqualTo(new ClaimFound(new ClaimCompleted(FIRST, ANSWER)));
		}

		@Test
		void keepsFirstAnswer() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.recordAnswer(key("k"), FIRST, ANSWER, 1);
			ClaimLedgerTests.this.ledger.recordAnswer(key("k"), FIRST, answer("late"), 2);
			assertThat(ClaimLedgerTests.this.ledger.find(key("k"))).contains(new ClaimCompleted(FIRST, ANSWER));
		}

		@Test
		void rejectsOtherOwner() {
			claim("k", FIRST, 0);
			OperationError error = ClaimLedgerTests.this.ledger.recordAnswer(key("k"), SECOND, ANSWER, 1)
				.error()
				.orElseThrow();
			assertThat(error.code()).isEqualTo(ErrorCode.CONFLICT);
		}

		@Test
		void keepsAnswerWhenMarkedUnknownLater() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.recordAnswer(key("k"), FIRST, ANSWER, 1);
			ClaimLedgerTests.this.ledger.markUnknown(key("k"), FIRST, 2);
			assertThat(ClaimLedgerTests.this.ledger.find(key("k"))).contains(new ClaimCompleted(FIRST, ANSWER));
		}

		@Test
		void recordsLateAnswerOfUnknownClaim() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.markUnknown(key("k"), FIRST, 1);
			ClaimLedgerTests.this.ledger.recordAnswer(key("k"), FIRST, ANSWER, 2);
			assertThat(ClaimLedgerTests.this.ledger.find(key("k"))).contains(new ClaimCompleted(FIRST, ANSWER));
		}

		@Test
		void treatsTooLargeAnswerAsUnknown() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.recordAnswer(key("k"), FIRST, answer("longer than ten"), 1);
			assertThat(ClaimLedgerTests.this.ledger.find(key("k"))).contains(new ClaimUnknown(FIRST));
		}

		@Test
		void dropsOldestAnswersBeyondStoredBytes() {
			claim("a", FIRST, 0);
			claim("b", FIRST, 0);
			claim("c", FIRST, 0);
			ClaimLedgerTests.this.ledger.recordAnswer(key("b"), FIRST, ANSWER, 1);
			ClaimLedgerTests.this.ledger.recordAnswer(key("a"), FIRST, ANSWER, 1);
			ClaimLedgerTests.this.ledger.recordAnswer(key("c"), FIRST, ANSWER, 1);
			assertThat(ClaimLedgerTests.this.ledger.find(key("b"))).contains(new ClaimUnknown(FIRST));
			assertThat(ClaimLedgerTests.this.ledger.find(key("a"))).contains(new ClaimCompleted(FIRST, ANSWER));
			assertThat(ClaimLedgerTests.this.ledger.find(key("c"))).contains(new ClaimCompleted(FIRST, ANSWER));
		}

	}

	@Nested
	class Releasing {

		@Test
		void releasesWithProofAboutAttempt() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.release(key("k"), proof(FIRST, BOOKING_1), 1);
			assertThat(claim("k", SECOND, 2)).isEqualTo(new ClaimGranted(running(SECOND)));
		}

		@Test
		void rejectsProofAboutOtherBackendServer() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.release(key("k"), proof(FIRST, BOOKING_2), 1);
			assertThat(ClaimLedgerTests.this.ledger.find(key("k"))).contains(running(FIRST));
		}

		@Test
		void rejectsProofForUnknownOutcome() {
			claim("k", FIRST, 0);
			ClaimLedgerTests.this.ledger.markUnknown(key("k"), FIRST, 1);
			ClaimLedgerTests.this.ledger.release(key("k"), proof(FIRST, BOOKING_1), 2);
			assertThat(ClaimLedgerTests.this.ledger.find(key("k"))).contains(new ClaimUnknown(FIRST));
		}

	}

	@Nested
	class Snapshots {

		@Test
		void restoresEqualLedger() {
			claim("a", FIRST, 0);
			claim("b", FIRST, 5);
			ClaimLedgerTests.this.ledger.recordAnswer(key("b"), FIRST, ANSWER, 6);
			ClaimLedgerTests.this.ledger.recordAnswer(key("a"), FIRST, ANSWER, 7);
			ClaimLedger copy = new ClaimLedger(new ClaimLedgerSettings(Duration.ofNanos(100), 3, 10, 16));
			copy.restore(ClaimLedgerTests.this.ledger.snapshot());
			claim("c", FIRST, 8);
			copy.claim(key("c"), "digest", FIRST, BOOKING_1, INCARNATION, 8);
			ClaimLedgerTests.this.ledger.recordAnswer(key("c"), FIRST, ANSWER, 9);
			copy.recordAnswer(key("c"), FIRST, ANSWER, 9);
			assertThat(copy.snapshot()).isEqualTo(ClaimLedgerTests.this.ledger.snapshot());
			assertThat(copy.find(key("b"))).contains(new ClaimUnknown(FIRST));
		}

	}

}
