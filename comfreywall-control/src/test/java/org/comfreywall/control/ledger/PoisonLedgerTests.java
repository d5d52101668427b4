package org.comfreywall.control.ledger;

import java.time.Duration;
import java.util.List;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.CrashEvidence;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.poison.PoisonVerdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PoisonLedger}.
 */
class PoisonLedgerTests {

	private static final Fingerprint POISON = fingerprint("poison");

	private static final Fingerprint HARMLESS = fingerprint("harmless");

	private static final RequestId RUN = RequestId.of("run");

	private static final RequestId OTHER_RUN = RequestId.of("other-run");

	private static final PoisonLedgerSettings SETTINGS = new PoisonLedgerSettings(Duration.ofNanos(1000),
			Duration.ofNanos(10), Duration.ofNanos(50), 3);

	private final PoisonLedger ledger = new PoisonLedger(SETTINGS, DecisionListener.NONE);

	@Test
	void restoresEqualLedgerFromSnapshot() {
		crash("a", 0, POISON, HARMLESS);
		acquire(POISON, RUN, 10);
		PoisonLedger copy = new PoisonLedger(SETTINGS, DecisionListener.NONE);
		copy.restore(this.ledger.snapshot());
		this.ledger.advanceTime(60);
		copy.advanceTime(60);
		assertThat(copy.snapshot()).isEqualTo(this.ledger.snapshot());
		assertThat(copy.assess(POISON)).isEqualTo(PoisonVerdict.QUARANTINED);
	}

	private void crash(String server, long now, Fingerprint... inFlight) {
		report(CrashEvidence.BACKEND_CRASHED, server, 1, false, now, inFlight);
	}

	private void crashIsolated(String server, long now, Fingerprint suspect) {
		report(CrashEvidence.BACKEND_CRASHED, server, 1, true, now, suspect);
	}

	private void lose(String server, long now, Fingerprint... inFlight) {
		report(CrashEvidence.SIDECAR_LOST, server, 0, false, now, inFlight);
	}

	private void report(CrashEvidence evidence, String server, int crashNumber, boolean isolated, long now,
			Fingerprint... inFlight) {
		this.ledger.recordCrash(new CrashReport(evidence, BackendServerId.of(server), Incarnation.of(1), crashNumber,
				List.of(inFlight), isolated), now);
	}

	private IsolationResult acquire(Fingerprint fingerprint, RequestId owner, long now) {
		return this.ledger.acquire(fingerprint, owner, now);
	}

	private void release(Fingerprint fingerprint, RequestId owner, IsolationEnd end, long now) {
		this.ledger.release(fingerprint, owner, end, now);
	}

	private void assertVerdict(Fingerprint fingerprint, PoisonVerdict verdict) {
		assertThat(this.ledger.assess(fingerprint)).isEqualTo(verdict);
	}

	private static Fingerprint fingerprint(String digest) {
		return new Fingerprint(AccountId.of("farm"), ServiceId.of("letters"), digest);
	}

	@Nested
	class Recording {

		@Test
		void suspectsAllRequestsInFlight() {
			crash("a", 0, POISON, HARMLESS);
			assertVerdict(POISON, PoisonVerdict.SUSPECT);
			assertVerdict(HARMLESS, PoisonVerdict.SUSPECT);
		}

		@Test
		void countsRepeatedReportOnce() {
			crash("a", 0, POISON);
			crash("a", 5, POISON);
			assertVerdict(POISON, PoisonVerdict.SUSPECT);
		}

		@Test
		void quarantinesAfterSecondCrash() {
			crash("a", 0, POISON);
			crash("b", 1, POISON);
			assertVerdict(POISON, PoisonVerdict.QUARANTINED);
		}

		@Test
		void countsLossOfSidecarAndCrashOfItsBackendServerOnce() {
			lose("a", 0, POISON);
			crash("a", 1, POISON);
			lose("a", 2, POISON);
			assertVerdict(POISON, PoisonVerdict.SUSPECT);
		}

		@Test
		void doesNotQuarantineForLossOfManySidecars() {
			lose("a", 0, HARMLESS);
			lose("b", 0, HARMLESS);
			lose("c", 0, HARMLESS);
			assertVerdict(HARMLESS, PoisonVerdict.SUSPECT);
		}

		@Test
		void expiresAfterRetention() {
			crash("a", 0, POISON);
			PoisonLedgerTests.this.ledger.advanceTime(1000);
			assertVerdict(POISON, PoisonVerdict.CLEAR);
		}

		@Test
		void evictsOldestSuspectWhenFull() {
			crash("a", 0, POISON);
			crash("b", 0, POISON);
			crash("c", 1, HARMLESS);
			crash("d", 2, fingerprint("x"));
			crash("e", 3, fingerprint("y"));
			assertVerdict(POISON, PoisonVerdict.QUARANTINED);
			assertVerdict(HARMLESS, PoisonVerdict.CLEAR);
			assertThat(PoisonLedgerTests.this.ledger.evictions()).isOne();
		}

	}

	@Nested
	class Isolating {

		@Test
		void makesSuspectWaitForSettleTime() {
			crash("a", 0, POISON);
			assertThat(acquire(POISON, RUN, 9)).isEqualTo(IsolationResult.WAIT);
			assertThat(acquire(POISON, RUN, 10)).isEqualTo(IsolationResult.GRANTED);
		}

		@Test
		void runsOneSuspectAtATime() {
			crash("a", 0, POISON, HARMLESS);
			acquire(POISON, RUN, 10);
			assertThat(acquire(HARMLESS, OTHER_RUN, 11)).isEqualTo(IsolationResult.WAIT);
			assertThat(acquire(POISON, OTHER_RUN, 11)).isEqualTo(IsolationResult.WAIT);
			assertThat(acquire(POISON, RUN, 11)).isEqualTo(IsolationResult.GRANTED);
		}

		@Test
		void clearsSuspectThatSurvives() {
			crash("a", 0, HARMLESS);
			acquire(HARMLESS, RUN, 10);
			release(HARMLESS, RUN, IsolationEnd.SURVIVED, 11);
			assertThat(acquire(HARMLESS, RUN, 12)).isEqualTo(IsolationResult.NOT_SUSPECTED);
		}

		@Test
		void keepsSuspicionWhenIsolatedRunDidNotStart() {
			crash("a", 0, POISON);
			acquire(POISON, RUN, 10);
			release(POISON, RUN, IsolationEnd.NOT_RUN, 11);
			assertVerdict(POISON, PoisonVerdict.SUSPECT);
			assertThat(acquire(POISON, OTHER_RUN, 12)).isEqualTo(IsolationResult.GRANTED);
		}

		@Test
		void ignoresReleaseByFormerHolder() {
			crash("a", 0, POISON);
			acquire(POISON, RUN, 10);
			release(POISON, OTHER_RUN, IsolationEnd.SURVIVED, 11);
			assertThat(acquire(POISON, OTHER_RUN, 12)).isEqualTo(IsolationResult.WAIT);
		}

		@Test
		void quarantinesSuspectLostInIsolation() {
			crash("a", 0, POISON);
			acquire(POISON, RUN, 10);
			release(POISON, RUN, IsolationEnd.LOST, 11);
			assertThat(acquire(POISON, RUN, 30)).isEqualTo(IsolationResult.QUARANTINED);
		}

		@Test
		void quarantinesSuspectWhoseSlotExpires() {
			crash("a", 0, POISON);
			acquire(POISON, RUN, 10);
			PoisonLedgerTests.this.ledger.advanceTime(60);
			assertVerdict(POISON, PoisonVerdict.QUARANTINED);
		}

	}

	@Nested
	class Clearing {

		@Test
		void clearsOtherFingerprintsInFlightWithQuarantinedOne() {
			crash("a", 0, POISON, HARMLESS);
			acquire(POISON, RUN, 10);
			crashIsolated("b", 11, POISON);
			assertVerdict(POISON, PoisonVerdict.QUARANTINED);
			assertVerdict(HARMLESS, PoisonVerdict.CLEAR);
		}

		@Test
		void countsLossAttributedToOtherTowardsSecondCrash() {
			crash("a", 0, POISON, HARMLESS);
			acquire(HARMLESS, RUN, 10);
			crashIsolated("b", 11, HARMLESS);
			assertVerdict(POISON, PoisonVerdict.CLEAR);
			crash("c", 12, POISON);
			assertVerdict(POISON, PoisonVerdict.QUARANTINED);
		}

		@Test
		void doesNotAttributeLossesToHolderOfExpiredSlot() {
			crash("a", 0, POISON, HARMLESS);
			acquire(HARMLESS, RUN, 10);
			PoisonLedgerTests.this.ledger.advanceTime(60);
			assertVerdict(POISON, PoisonVerdict.SUSPECT);
		}

		@Test
		void removesFingerprintOnOperatorCommand() {
			crash("a", 0, POISON);
			crash("b", 0, POISON);
			assertThat(PoisonLedgerTests.this.ledger.clear(POISON, 1)).isTrue();
			assertVerdict(POISON, PoisonVerdict.CLEAR);
		}

	}

}
