package org.comfreywall.gateway.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PoisonDetector}.
 */
class PoisonDetectorTests {

	private final PoisonDetector detector = new PoisonDetector((trait) -> true);

	private long now = seconds(100);

	private int requests;

	private int starts;

	private static long seconds(double seconds) {
		return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
	}

	private static RequestTraits request(String parts) {
		return RequestTraits.parse(parts, () -> "request of " + parts, () -> "account");
	}

	private boolean runs(String parts) {
		return this.detector.check(request(parts), ++this.requests, this.now).isEmpty();
	}

	private void serve(String parts) {
		this.detector.recordBegun(request(parts), this.now);
	}

	private void breakConnection(String server, int started, String parts) {
		this.detector.recordBroken(server, started, "r" + ++this.requests, request(parts), false, this.now);
	}

	private void complete(String parts) {
		serve(parts);
		this.detector.recordCompleted(request(parts), this.now);
	}

	// Crashes a server within the responses to all these requests.
	private void crashWithin(String... parts) {
		this.starts++;
		for (String each : parts) {
			serve(each);
			this.detector.recordBroken("server:" + this.starts, 1, "r" + ++this.requests, request(each), true,
					this.now);
		}
		this.detector.recordCrash("server:" + this.starts, 2, this.now);
		this.now += seconds(5);
	}

	private void crash(String... parts) {
		this.starts++;
		for (String each : parts) {
			breakConnection("server:1", this.starts, each);
		}
		this.detector.recordCrash("server:1", this.starts + 1, this.now);
		this.now += seconds(5);
	}

	@Nested
	class Charging {

		@Test
		void aPartThatWasNeverServedIsRefusedAfterOneCrash() {
			serve("first:40,own1:90");
			crash("first:40,deadly:183,own2:700");
			assertThat(runs("first:40,deadly:183,own3:600")).isFalse();
			assertThat(runs("other:40,deadly:183,own4:600")).isFalse();
		}

		@Test
		void requestsThatShareOtherPartsRun() {
			serve("first:40,own1:90");
			crash("first:40,deadly:183,own2:700");
			assertThat(runs("first:40,own3:600")).isTrue();
			assertThat(runs("first:40,sound:183,own4:600")).isTrue();
			assertThat(runs("other:40,own2:700")).isTrue();
		}

		@Test
		void ofTwoPartsThatWereNeverServedOnlyTheCombinationIsRefused() {
			crash("first:40,deadly:183,own1:700");
			assertThat(runs("first:40,deadly:183,own2:700")).isFalse();
			assertThat(runs("first:40,own3:700")).isTrue();
			serve("first:40,own3:700");
			assertThat(runs("other:40,deadly:183,own4:700")).isFalse();
		}

		@Test
		void aBrokenConnectionWithoutACrashChargesNobody() {
			breakConnection("server:1", 1, "first:40,deadly:183,own:700");
			PoisonDetectorTests.this.detector.recordCrash("server:2", 9, PoisonDetectorTests.this.now);
			PoisonDetectorTests.this.detector.recordCrash("server:1", 1, PoisonDetectorTests.this.now);
			assertThat(runs("first:40,deadly:183,own:700")).isTrue();
		}

		@Test
		void aPartThatWasServedBeforeIsRefusedAfterThreeCrashes() {
			serve("part:40,own0:90");
			PoisonDetectorTests.this.now += seconds(1);
			crash("part:40,own1:90");
			crash("part:40,own2:90");
			assertThat(runs("part:40,own3:90")).isTrue();
			crash("part:40,own3:90");
			assertThat(runs("part:40,own4:90")).isFalse();
		}

		@Test
		void aResponseClearsThePartsOfItsRequest() {
			crash("part:40,own1:90");
			assertThat(runs("part:40,own2:90")).isFalse();
			serve("part:40,own3:90");
			assertThat(runs("part:40,own4:90")).isTrue();
			crash("part:40,own5:90");
			crash("part:40,own6:90");
			serve("part:40,own7:90");
			crash("part:40,own8:90");
			assertThat(runs("part:40,own9:90")).isTrue();
		}

		@Test
		void aRequestWithoutPartsIsRefusedAfterTwoCrashes() {
			crash("");
			assertThat(runs("")).isTrue();
			crash("");
			assertThat(runs("")).isFalse();
		}

		@Test
		void crashesOfARackAtTheSameTimeCountOnce() {
			serve("part:40,own0:90");
			PoisonDetectorTests.this.now += seconds(1);
			for (int i = 0; i < 3; i++) {
				crash("part:40,own1:90");
				PoisonDetectorTests.this.now -= seconds(4.9);
			}
			assertThat(runs("part:40,own2:90")).isTrue();
		}

		@Test
		void aConvictedPartExplainsTheOtherRequestsOnTheServersThatItCrashed() {
			serve("first:40,own0:90");
			PoisonDetectorTests.this.now += seconds(1);
			crash("first:40,deadly:183,own1:700", "first:40,rare:20,own2:90");
			assertThat(runs("first:40,rare:20,own3:90")).isFalse();
			crash("first:40,deadly:183,own4:700");
			assertThat(runs("first:40,deadly:183,own5:700")).isFalse();
			assertThat(runs("first:40,rare:20,own6:90")).isTrue();
		}

	}

	/**
	 * Servers that crash after a response began. All requests on such a server have
	 * begun, so that one crash tells little about each.
	 */
	@Nested
	class CrashesWithinResponses {

		private static final String DEADLY = "first:40,own:90";

		/** After three crashes. */
		private static final long PROBATION = seconds(30 * 4 * 4);

		@Test
		void aRequestIsRefusedAfterThreeCrashes() {
			crashWithin(DEADLY);
			crashWithin(DEADLY);
			assertThat(runs(DEADLY)).isTrue();
			crashWithin(DEADLY);
			assertThat(runs(DEADLY)).isFalse();
		}

		@Test
		void aRequestThatWasSentToAnotherServerAtOnceIsChargedWithBothCrashes() {
			for (int i = 0; i < 3; i++) {
				crashWithin(DEADLY);
				PoisonDetectorTests.this.now -= seconds(4.9);
			}
			assertThat(runs(DEADLY)).isFalse();
		}

		@Test
		void theFirstBytesOfAResponseClearNothing() {
			for (int i = 0; i < 3; i++) {
				crashWithin(DEADLY);
				serve(DEADLY);
			}
			assertThat(runs(DEADLY)).isFalse();
		}

		@Test
		void aCompleteResponseClearsTheRequest() {
			crashWithin(DEADLY);
			crashWithin(DEADLY);
			complete(DEADLY);
			crashWithin(DEADLY);
			assertThat(runs(DEADLY)).isTrue();
		}

		@Test
		void otherRequestsOnTheCrashedServersRun() {
			for (int i = 0; i < 4; i++) {
				crashWithin(DEADLY, "first:40,sound:50,own" + i + ":90");
				complete("first:40,sound:50,more" + i + ":90");
			}
			assertThat(runs("first:40,sound:50,own0:90")).isTrue();
			assertThat(runs("first:40,other:90")).isTrue();
		}

		@Test
		void aPartThatIsInAllCrashesAndInNoCompleteResponseIsRefused() {
			for (int i = 0; i < 3; i++) {
				crashWithin("first:40,deadly:183,own" + i + ":700");
				complete("first:40,own" + i + ":90");
			}
			assertThat(runs("first:40,deadly:183,own9:600")).isFalse();
			assertThat(runs("first:40,own9:600")).isTrue();
		}

		@Test
		void otherEntriesRefuseAsWell() {
			PoisonDetector other = new PoisonDetector((trait) -> false);
			for (int i = 0; i < 3; i++) {
				crashWithin(DEADLY);
				other.merge(PoisonDetectorTests.this.detector.takeEvidence(false));
			}
			assertThat(other.check(request(DEADLY), 1, PoisonDetectorTests.this.now)).isPresent();
		}

		@Test
		void aTrialThatCrashesAServerExtendsTheProbation() {
			for (int i = 0; i < 3; i++) {
				crashWithin(DEADLY);
			}
			PoisonDetectorTests.this.now += PROBATION;
			assertThat(runs(DEADLY)).isTrue();
			crashWithin(DEADLY);
			PoisonDetectorTests.this.now += PROBATION;
			assertThat(runs(DEADLY)).isFalse();
		}

	}

	@Nested
	class Probation {

		@Test
		void aSingleRequestRunsAfterTheProbation() {
			crash("deadly:40,own1:90");
			PoisonDetectorTests.this.now += seconds(30);
			assertThat(runs("deadly:40,own2:90")).isTrue();
			assertThat(runs("deadly:40,own3:90")).isFalse();
		}

		@Test
		void theSameRequestMayBeCheckedAgain() {
			crash("deadly:40,own1:90");
			PoisonDetectorTests.this.now += seconds(30);
			for (int i = 0; i < 2; i++) {
				assertThat(PoisonDetectorTests.this.detector.check(request("deadly:40,own2:90"), 77,
						PoisonDetectorTests.this.now))
					.isEmpty();
			}
		}

		@Test
		void aFurtherCrashExtendsTheProbation() {
			crash("deadly:40,own1:90");
			PoisonDetectorTests.this.now += seconds(30);
			crash("deadly:40,own2:90");
			PoisonDetectorTests.this.now += seconds(60);
			assertThat(runs("deadly:40,own3:90")).isFalse();
			PoisonDetectorTests.this.now += seconds(60);
			assertThat(runs("deadly:40,own4:90")).isTrue();
		}

		@Test
		void entriesThatAreNotAssignedRefuseAlsoAfterTheProbation() {
			crash("deadly:40,own1:90");
			PoisonDetector other = new PoisonDetector((trait) -> false);
			other.merge(PoisonDetectorTests.this.detector.takeEvidence(true));
			assertThat(other.check(request("deadly:40,own2:90"), 1, PoisonDetectorTests.this.now + seconds(40)))
				.hasValueSatisfying((refusal) -> assertThat(refusal.retryAfter()).isPositive()
					.isLessThanOrEqualTo(Duration.ofSeconds(30)));
		}

	}

	@Nested
	class SharedEvidence {

		private final PoisonDetector other = new PoisonDetector((trait) -> false);

		@Test
		void otherEntriesRefuseAsWell() {
			crash("deadly:40,own1:90");
			this.other.merge(PoisonDetectorTests.this.detector.takeEvidence(false));
			assertThat(this.other.check(request("deadly:40,own2:90"), 1, PoisonDetectorTests.this.now)).isPresent();
		}

		@Test
		void anEntryThatServedAPartBeforeClearsItAtTheOthers() {
			this.other.recordBegun(request("part:40,own0:90"), PoisonDetectorTests.this.now);
			PoisonDetectorTests.this.now += seconds(1);
			crash("part:40,own1:90");
			assertThat(runs("part:40,own2:90")).isFalse();
			this.other.merge(PoisonDetectorTests.this.detector.takeEvidence(false));
			PoisonDetectorTests.this.detector.merge(this.other.takeEvidence(false));
			assertThat(runs("part:40,own2:90")).isTrue();
		}

		/**
		 * Times arrive as ages and seem later by the delay of each message.
		 */
		@Test
		void evidenceThatIsExchangedAgainAndAgainClearsNothing() {
			serve("part:40,own0:90");
			PoisonDetectorTests.this.now += seconds(0.5);
			for (int i = 1; i <= 3; i++) {
				crash("part:40,own" + i + ":90");
			}
			for (int i = 0; i < 100; i++) {
				this.other.merge(delayed(PoisonDetectorTests.this.detector.takeEvidence(true)));
				PoisonDetectorTests.this.detector.merge(delayed(this.other.takeEvidence(true)));
			}
			assertThat(runs("part:40,own4:90")).isFalse();
			assertThat(this.other.check(request("part:40,own4:90"), 1, PoisonDetectorTests.this.now)).isPresent();
		}

		private static PoisonEvidence delayed(PoisonEvidence evidence) {
			Map<String, Long> begun = new HashMap<>();
			evidence.begun().forEach((trait, at) -> begun.put(trait, at + seconds(0.2)));
			return new PoisonEvidence(evidence.charges(), begun, evidence.completed());
		}

		@Test
		void anEntryThatStartedLaterLearnsRefusals() {
			crash("deadly:40,own1:90");
			PoisonDetectorTests.this.detector.takeEvidence(false);
			this.other.merge(PoisonDetectorTests.this.detector.takeEvidence(true));
			assertThat(this.other.check(request("deadly:40,own2:90"), 1, PoisonDetectorTests.this.now)).isPresent();
		}

		@Test
		void evidenceOfChargesThatRefuseNothingIsSentOnce() {
			serve("part:40,own0:90");
			crash("part:40,own1:90");
			assertThat(PoisonDetectorTests.this.detector.takeEvidence(false).charges()).hasSize(1);
			assertThat(PoisonDetectorTests.this.detector.takeEvidence(true)).isEqualTo(PoisonEvidence.NONE);
		}

	}

	/**
	 * Several entries send to a group that stands still for four seconds after each
	 * crash. One request in fifty has a part that crashes its server.
	 */
	@Nested
	class Load {

		private static final int ENTRIES = 6;

		private static final int FIRST_PARTS = 60;

		private final List<PoisonDetector> entries = new ArrayList<>();

		private long openAt;

		private int crashes;

		private int refused;

		@ParameterizedTest
		@ValueSource(longs = { 11, 12, 13, 14, 15, 16, 17, 18 })
		void oneCrashIsEnoughAndSoundRequestsAreServed(long seed) {
			Random random = new Random(seed);
			for (int i = 0; i < ENTRIES; i++) {
				this.entries.add(new PoisonDetector((trait) -> false));
			}
			int sound = 0;
			for (int i = 0; i < 60 * 30; i++) {
				PoisonDetectorTests.this.now += seconds(1 / 60.0);
				boolean deadly = i > 4 * 60 && random.nextInt(50) == 0;
				String first = (deadly ? 7 : random.nextInt(FIRST_PARTS)) + ":40,";
				PoisonDetector entry = this.entries.get(random.nextInt(ENTRIES));
				sound += deadly ? 0 : 1;
				play(entry, request(first + (deadly ? "deadly:183," : "") + "own" + i + ":700"), deadly);
				if (i % 12 == 0) {
					exchangeEvidence(i % 120 == 0);
				}
			}
			assertThat(this.crashes).isBetween(1, 2);
			assertThat(this.refused).isLessThan(sound / 50);
		}

		private void play(PoisonDetector entry, RequestTraits traits, boolean deadly) {
			long time = PoisonDetectorTests.this.now;
			if (entry.check(traits, ++PoisonDetectorTests.this.requests, time).isPresent()) {
				this.refused += deadly ? 0 : 1;
			}
			else if (time >= this.openAt && deadly) {
				this.crashes++;
				this.openAt = time + seconds(4);
				entry.recordBroken("server:1", this.crashes, "r", traits, false, time);
				entry.recordCrash("server:1", this.crashes + 1, time + seconds(3));
			}
			else if (time >= this.openAt) {
				entry.recordBegun(traits, time);
			}
		}

		private void exchangeEvidence(boolean full) {
			for (PoisonDetector from : this.entries) {
				PoisonEvidence evidence = from.takeEvidence(full);
				this.entries.stream().filter((to) -> to != from).forEach((to) -> to.merge(evidence));
			}
		}

	}

}
