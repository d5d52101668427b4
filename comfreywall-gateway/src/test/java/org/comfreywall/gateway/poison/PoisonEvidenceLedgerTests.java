package org.comfreywall.gateway.poison;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.LogTime;
import org.comfreywall.control.state.StateMachine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link PoisonEvidenceLedger} together with the detectors that use it. Without
 * it, each start of the whole fleet paid for the evidence against a request with further
 * crashes.
 */
class PoisonEvidenceLedgerTests {

	private static final String SERVER = "10.0.0.1:80";

	private PoisonEvidenceLedger ledger = new PoisonEvidenceLedger();

	/** The log time; the clocks of processes differ from it. */
	private long logMillis = 500_000;

	private long offset = seconds(-77_000);

	private Entry entry = new Entry();

	private int requests;

	private static long seconds(double seconds) {
		return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
	}

	private void pass(double seconds) {
		this.logMillis += (long) (seconds * 1000);
	}

	private long now() {
		return TimeUnit.MILLISECONDS.toNanos(this.logMillis) + this.offset;
	}

	private static RequestTraits request(String parts, String account) {
		return RequestTraits.parse(parts, () -> account + " sends " + parts, () -> account);
	}

	private static RequestTraits request(String parts) {
		return request(parts, "a");
	}

	private Bytes apply(Bytes command) {
		return this.ledger.apply(LogTime.of(this.logMillis), command);
	}

	// Starts all processes again, with other clocks; those with a disk from a snapshot.
	private void restartAll() {
		Bytes snapshot = this.ledger.snapshot();
		this.ledger = new PoisonEvidenceLedger();
		this.ledger.restore(snapshot);
		assertThat(this.ledger.snapshot()).isEqualTo(snapshot);
		this.offset += seconds(50_000);
		this.entry = new Entry();
		this.entry.read();
	}

	private void crashTwice(String parts) {
		for (int i = 0; i < 2; i++) {
			this.entry.crash(request(parts));
			pass(5);
		}
	}

	@Test
	void aRequestThatCrashedServersIsRefusedAfterARestartOfAll() {
		crashTwice("");
		this.entry.store();
		restartAll();
		assertThat(this.entry.refusal(request(""))).isPresent();
		assertThat(this.entry.refusal(request("", "b"))).isEmpty();
	}

	@Test
	void crashesBeforeAndAfterARestartAddUp() {
		this.entry.crash(request(""));
		this.entry.store();
		pass(5);
		restartAll();
		assertThat(this.entry.refusal(request(""))).isEmpty();
		this.entry.crash(request(""));
		assertThat(this.entry.refusal(request(""))).isPresent();
	}

	/**
	 * A server needs seconds to start again, and all gateways may be killed meanwhile.
	 */
	@Test
	void aCrashThatIsConfirmedAfterARestartOfAllCounts() {
		this.entry.crash(request(""));
		this.entry.store();
		pass(3);
		this.entry.breakConnection(SERVER, 7, request(""));
		this.entry.store();
		pass(2);
		restartAll();
		this.entry.detector.recordCrash(SERVER, 8, now());
		assertThat(this.entry.refusal(request(""))).isPresent();
		this.entry.store();
		restartAll();
		assertThat(this.entry.refusal(request(""))).isPresent();
	}

	@Test
	void theProbationGoesOn() {
		crashTwice("");
		this.entry.store();
		Duration before = this.entry.refusal(request("")).orElseThrow().retryAfter();
		pass(20);
		apply(PoisonEvidenceCodec.advanceTime());
		restartAll();
		Duration left = this.entry.refusal(request("")).orElseThrow().retryAfter();
		assertThat(left).isEqualTo(before.minusSeconds(20));
	}

	@Test
	void aRequestThatWasClearedStaysCleared() {
		crashTwice("");
		this.entry.store();
		this.entry.detector.recordCompleted(request(""), now());
		this.entry.store();
		pass(5);
		restartAll();
		assertThat(this.entry.refusal(request(""))).isEmpty();
		this.entry.crash(request(""));
		assertThat(this.entry.refusal(request(""))).isEmpty();
	}

	/**
	 * A refusal for a part that was never served needs one crash only, so it must be
	 * known of other parts that they were.
	 */
	@Test
	void partsThatWereServedAreNotTakenForNewOnes() {
		this.entry.detector.recordBegun(request("known:40,own:9"), now());
		pass(1);
		this.entry.crash(request("known:40,own:9"));
		this.entry.store();
		pass(5);
		restartAll();
		assertThat(this.entry.refusal(request("known:40,other:9"))).isEmpty();
	}

	@Test
	void whatIsStoredIsNotStoredAgainAndMayBeRepeated() {
		crashTwice("part:40,own:9");
		Bytes command = this.entry.store();
		Bytes state = this.ledger.snapshot();
		assertThat(this.entry.detector.takeUnstored().isEmpty()).isTrue();
		apply(command);
		assertThat(this.ledger.snapshot()).isEqualTo(state);
		Entry other = new Entry();
		other.read();
		assertThat(other.detector.takeUnstored().isEmpty()).isTrue();
	}

	@Test
	void whatCouldNotBeStoredIsStoredLater() {
		crashTwice("part:40,own:9");
		PoisonEvidence taken = this.entry.detector.takeUnstored();
		assertThat(this.entry.detector.takeUnstored().isEmpty()).isTrue();
		this.entry.detector.recordNotStored(taken);
		this.entry.store();
		restartAll();
		assertThat(this.entry.refusal(request("part:40,own:9"))).isPresent();
	}

	/**
	 * Responses with a part that all requests share begin all the time; each would have
	 * to be stored.
	 */
	@Test
	void partsThatAreServedAllTheTimeAreStoredOnce() {
		this.entry.detector.recordBegun(request("shared:40,own:9"), now());
		pass(1);
		this.entry.crash(request("shared:40,own:9"));
		PoisonEvidence taken = this.entry.detector.takeUnstored();
		assertThat(taken.charges()).hasSize(1);
		pass(1);
		this.entry.detector.recordBegun(request("shared:40,own:9"), now());
		assertThat(this.entry.detector.takeUnstored().begun()).containsOnlyKeys("shared");
		for (int i = 0; i < 10; i++) {
			pass(1);
			this.entry.detector.recordBegun(request("shared:40,own:9"), now());
			assertThat(this.entry.detector.takeUnstored().isEmpty()).isTrue();
		}
	}

	/**
	 * A proposal may take effect seconds after its process has given it up.
	 */
	@Test
	void aDelayedCommandKeepsItsTimes() {
		this.entry.crash(request(""));
		PoisonEvidence taken = this.entry.detector.takeUnstored();
		Bytes delayed = PoisonEvidenceCodec.store(taken.plus(-this.offset), this.logMillis);
		pass(1);
		this.entry.detector.recordNotStored(taken);
		this.entry.detector.recordCompleted(request(""), now());
		this.entry.store();
		pass(8);
		apply(delayed);
		restartAll();
		this.entry.crash(request(""));
		assertThat(this.entry.refusal(request(""))).isEmpty();
	}

	@Test
	void malformedCommandsChangeNothingAndGetNoAnswer() {
		crashTwice("");
		this.entry.store();
		Bytes state = this.ledger.snapshot();
		assertThat(PoisonEvidenceCodec.decodeAnswer(apply(Bytes.ofText("\u0001")))).isEmpty();
		assertThat(this.ledger.snapshot()).isEqualTo(state);
		assertThatIllegalArgumentException().isThrownBy(() -> this.ledger.restore(Bytes.ofText("\u0001")));
	}

	@Test
	void aTimeInTheFutureIsTakenForNow() {
		CrashCharge charge = new CrashCharge(SERVER + "@1", "r1", List.of(), "digest", false, 0);
		apply(PoisonEvidenceCodec.store(
				new PoisonEvidence(List.of(charge.withTime(seconds(9_000_000))), Map.of(), Map.of()), 9_000_000_000L));
		StoredPoisonEvidence stored = PoisonEvidenceCodec.decodeAnswer(this.ledger.query(Bytes.EMPTY)).orElseThrow();
		assertThat(stored.evidence().charges()).extracting(CrashCharge::at)
			.containsExactly(TimeUnit.MILLISECONDS.toNanos(this.logMillis));
	}

	/**
	 * A version without this ledger refuses snapshots with it, so it must not appear
	 * before it is used, which is after all replicas have it.
	 */
	@Test
	void snapshotsBeforeTheFirstEvidenceAreReadableWithoutThisLedger() {
		StateMachine machine = new StateMachine(List.of(new PoisonEvidenceLedger()));
		machine.apply(LogTime.of(1),
				new LedgerCommand(PoisonEvidenceLedger.NAME, PoisonEvidenceCodec.advanceTime()).encode());
		new StateMachine(List.of()).restore(machine.snapshot());
	}

	@Nested
	class Bounds {

		private void flood(String account, int requests) {
			for (int i = 0; i < requests; i++) {
				for (int j = 0; j < 2; j++) {
					PoisonEvidenceLedgerTests.this.entry.crash(request("own" + i + ":9", account));
					pass(2.5);
					PoisonEvidenceLedgerTests.this.entry.store();
				}
			}
		}

		@Test
		void otherAccountsCannotPushOutAConviction() {
			crashTwice("");
			PoisonEvidenceLedgerTests.this.entry.store();
			flood("stranger", 100);
			assertThat(PoisonEvidenceLedgerTests.this.entry.refusal(request(""))).isPresent();
			restartAll();
			assertThat(PoisonEvidenceLedgerTests.this.entry.refusal(request(""))).isPresent();
		}

		@Test
		void anAccountThatFillsTheChargesDoesNotHinderThoseOfOthers() {
			flood("stranger", 100);
			crashTwice("");
			PoisonEvidenceLedgerTests.this.entry.store();
			restartAll();
			assertThat(PoisonEvidenceLedgerTests.this.entry.refusal(request(""))).isPresent();
		}

		@Test
		void theStateStaysBoundedWhateverCallersSend() {
			String longParts = String.join(":9,", Collections.nCopies(400, "p".repeat(64)));
			for (int i = 0; i < 250; i++) {
				String parts = longParts + "x:9," + "q".repeat(5000) + i + ":9,own:9";
				PoisonEvidenceLedgerTests.this.entry.crash(request(parts));
				PoisonEvidenceLedgerTests.this.entry.breakConnection("10.0.0.2:80", i, request(parts));
				PoisonEvidenceLedgerTests.this.entry.breakConnection("10.0.0.3:80", i, request(parts));
				pass(1);
				PoisonEvidenceLedgerTests.this.entry.store();
			}
			int charges = CrashCharges.MAX_CHARGES + PoisonEvidenceLedger.MAX_UNCONFIRMED;
			// The fingerprint of this test contains the parts; a real one is a digest.
			int fingerprints = charges * (longParts.length() + 5200);
			assertThat(PoisonEvidenceLedgerTests.this.ledger.snapshot().toArray().length)
				.isLessThan(charges * 17 * 80 + 2 * fingerprints);
		}

		@Test
		void oldChargesAreRemoved() {
			crashTwice("");
			PoisonEvidenceLedgerTests.this.entry.store();
			pass(Duration.ofDays(15).toSeconds());
			apply(PoisonEvidenceCodec.advanceTime());
			assertThat(PoisonEvidenceLedgerTests.this.ledger.snapshot()).isEqualTo(Bytes.EMPTY);
		}

	}

	// An entry that stores what it observes.
	private final class Entry {

		private final PoisonDetector detector = new PoisonDetector((trait) -> false);

		private void breakConnection(String server, int started, RequestTraits traits) {
			this.detector.recordBroken(server, started, "r" + ++PoisonEvidenceLedgerTests.this.requests, traits, false,
					now());
		}

		private void crash(RequestTraits traits) {
			int started = 100 + PoisonEvidenceLedgerTests.this.requests;
			breakConnection(SERVER, started, traits);
			this.detector.recordCrash(SERVER, started + 1, now());
		}

		private Optional<PoisonRefusal> refusal(RequestTraits traits) {
			return this.detector.check(traits, ++PoisonEvidenceLedgerTests.this.requests, now());
		}

		private Bytes store() {
			PoisonEvidence unstored = this.detector.takeUnstored();
			Bytes command = PoisonEvidenceCodec.store(unstored.plus(-PoisonEvidenceLedgerTests.this.offset),
					PoisonEvidenceLedgerTests.this.logMillis);
			assertThat(PoisonEvidenceCodec.decodeAnswer(apply(command))).isPresent();
			return command;
		}

		private void read() {
			StoredPoisonEvidence stored = PoisonEvidenceCodec
				.decodeAnswer(PoisonEvidenceLedgerTests.this.ledger.query(Bytes.EMPTY))
				.orElseThrow();
			this.detector.merge(stored.since(now()));
		}

	}

}
