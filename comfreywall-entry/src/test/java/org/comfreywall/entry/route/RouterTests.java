package org.comfreywall.entry.route;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.entry.kv.KvTransfer;
import org.comfreywall.entry.prefix.BlockHashes;
import org.comfreywall.entry.prefix.BlocksStored;
import org.comfreywall.entry.prefix.PromptChain;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Router}.
 */
class RouterTests {

	private static final Incarnation INCARNATION = Incarnation.of(1);

	private static final FailureDomainId NEAR = FailureDomainId.of("near");

	private static final FailureDomainId FAR = FailureDomainId.of("far");

	private static final PromptChain CHAIN = PromptChain.of(new long[] { 1, 2, 3, 4 }, 500);

	private static final ServerProfile PROFILE = new ServerProfile(8, Duration.ofMillis(10), 10_000, false);

	private final DecisionHistory history = new DecisionHistory(16);

	private final Router router = new Router(InstanceId.of("entry"), RouterSettings.DEFAULTS,
			(domain) -> domain.equals(FAR) ? 20_000_000 : 0, new Random(1), this.history);

	private long now = Duration.ofMinutes(1).toNanos();

	private int requests;

	private long reports;

	@Test
	void refusesWhenNoServerIsKnown() {
		assertThat(this.router.choose(request(0), this.now)).isEmpty();
		assertThat(this.history.all()).singleElement()
			.satisfies((record) -> assertThat(record.result()).isEqualTo("none"));
	}

	@Test
	void choosesTheServerWithTheShorterQueue() {
		announceAndPassSlowStart("w1", "w2");
		report("w1", 6, 20_000);
		report("w2", 6, 1000);
		assertThat(chosen(request(1000))).contains("w2");
	}

	@Test
	void addsAttemptsSentSinceTheReport() {
		announceAndPassSlowStart("w1", "w2");
		report("w1", 0, 0);
		report("w2", 0, 500);
		send(request(4000));
		assertThat(chosen(request(1000))).contains("w2");
	}

	@Test
	void doesNotCountAnAttemptTwiceOnceAReportIncludesIt() {
		announceAndPassSlowStart("w1", "w2");
		report("w2", 7, 50_000);
		send(request(4000));
		this.now += 1;
		report("w1", 1, 4000);
		report("w2", 1, 4500);
		assertThat(chosen(request(100))).contains("w1");
	}

	@Test
	void olderReportHasNoEffect() {
		announceAndPassSlowStart("w1", "w2");
		report("w1", 0, 0);
		report("w2", 0, 5000);
		this.reports = 0;
		report("w1", 7, 90_000);
		assertThat(chosen(request(100))).contains("w1");
	}

	@Test
	void prefersTheServerThatHoldsThePrefix() {
		announceAndPassSlowStart("w1", "w2", "w3");
		store("w2");
		assertThat(chosen(request(2000))).contains("w2");
	}

	@Test
	void avoidsTheServerThatHoldsThePrefixWhenItsQueueIsLonger() {
		announceAndPassSlowStart("w1", "w2");
		store("w2");
		report("w2", 8, 5000);
		assertThat(chosen(request(2000))).contains("w1");
	}

	@Test
	void higherClassWaitsOnlyForItsOwnQueue() {
		announceAndPassSlowStart("w1", "w2");
		report("w1", new QueuedTokens(0, 0, 50_000));
		report("w2", new QueuedTokens(2000, 0, 0));
		assertThat(this.router.choose(RouteRequest.plain(RequestId.of("r"), PriorityClass.INTERACTIVE), this.now))
			.hasValueSatisfying((choice) -> assertThat(choice.server().value()).isEqualTo("w1"));
	}

	@Test
	void prefersTheNearerFailureDomain() {
		announce("w1", 1, FAR, PROFILE);
		announce("w2", 1, NEAR, PROFILE);
		passSlowStart();
		assertThat(chosen(request(100))).contains("w2");
	}

	@Test
	void excludedServersAreNotChosen() {
		announceAndPassSlowStart("w1", "w2");
		RouteRequest request = new RouteRequest(RequestId.of("r"), PriorityClass.STANDARD, 100, PromptChain.EMPTY,
				Optional.empty(), Set.of(BackendServerId.of("w1")));
		assertThat(chosen(request)).contains("w2");
	}

	@Test
	void transfersCacheFromALoadedServerWhenEnginesSupportIt() {
		ServerProfile profile = new ServerProfile(8, Duration.ofMillis(10), 10_000, true);
		announce("w1", 1, NEAR, profile);
		announce("w2", 1, NEAR, profile);
		passSlowStart();
		store("w1");
		report("w1", 8, 50_000);
		RouteChoice choice = this.router.choose(request(2000), this.now).orElseThrow();
		assertThat(choice.server().value()).isEqualTo("w2");
		assertThat(choice.kvPlan()).isInstanceOfSatisfying(KvTransfer.class,
				(move) -> assertThat(move.source().value()).isEqualTo("w1"));
	}

	@Test
	void sessionKeepsItsServerUntilItIsMuchSlower() {
		announceAndPassSlowStart("w1", "w2");
		RouteRequest request = sessionRequest();
		RouteChoice first = send(request);
		report(first.server().value(), 4, 300);
		assertThat(chosen(sessionRequest())).contains(first.server().value());
		report(first.server().value(), 8, 9000);
		assertThat(chosen(sessionRequest())).isPresent().get().isNotEqualTo(first.server().value());
	}

	@Test
	void newServerGetsAGrowingShare() {
		announceAndPassSlowStart("w1", "w2");
		announce("w3", 1, NEAR, PROFILE);
		long early = shareOf("w3");
		passSlowStart();
		assertThat(early).isLessThan(shareOf("w3") / 2);
	}

	private long shareOf(String server) {
		return IntStream.range(0, 300).filter((i) -> chosen(request(0)).get().equals(server)).count();
	}

	private void announceAndPassSlowStart(String... servers) {
		for (String server : servers) {
			announce(server, 1, NEAR, PROFILE);
		}
		passSlowStart();
	}

	private void announce(String server, long incarnation, FailureDomainId domain, ServerProfile profile) {
		this.router.on(new ServerAnnounced(BackendServerId.of(server), Incarnation.of(incarnation), domain, profile),
				this.now);
	}

	private void passSlowStart() {
		this.now += RouterSettings.DEFAULTS.slowStart().toNanos();
	}

	private void store(String server) {
		this.router.on(
				new CacheEventReceived(
						new BlocksStored(BackendServerId.of(server), INCARNATION, 1, BlockHashes.of(1, 2, 3, 4))),
				this.now);
	}

	private void report(String server, int running, long tokens) {
		this.reports++;
		this.router.on(new LoadReported(new LoadReport(BackendServerId.of(server), INCARNATION, this.reports, this.now,
				running, 0, new QueuedTokens(0, tokens, 0), 10_000_000, 10_000, 10)), this.now);
	}

	private void report(String server, QueuedTokens tokens) {
		this.reports++;
		this.router.on(new LoadReported(new LoadReport(BackendServerId.of(server), INCARNATION, this.reports, this.now,
				1, 0, tokens, 10_000_000, 10_000, 10)), this.now);
	}

	private RouteRequest request(int tokens) {
		this.requests++;
		return new RouteRequest(RequestId.of("r" + this.requests), PriorityClass.STANDARD, tokens, CHAIN,
				Optional.empty(), Set.of());
	}

	private RouteRequest sessionRequest() {
		this.requests++;
		SessionId session = new SessionId(AccountId.of("a"), "s");
		return new RouteRequest(RequestId.of("r" + this.requests), PriorityClass.STANDARD, 100, PromptChain.EMPTY,
				Optional.of(session), Set.of());
	}

	private Optional<String> chosen(RouteRequest request) {
		return this.router.choose(request, this.now).map((choice) -> choice.server().value());
	}

	private RouteChoice send(RouteRequest request) {
		RouteChoice choice = this.router.choose(request, this.now).orElseThrow();
		this.router.on(new AttemptSent(new AttemptId(request.request(), 1), request, choice), this.now);
		return choice;
	}

	@Nested
	class Leaving {

		private final Router router = RouterTests.this.router;

		@Test
		void leavingServerIsNoLongerChosen() {
			announceAndPassSlowStart("w1", "w2");
			this.router.on(new ServerLeaving(BackendServerId.of("w1"), INCARNATION), RouterTests.this.now);
			assertThat(shareOf("w1")).isZero();
		}

		@Test
		void lateAnnouncementDoesNotRestoreALeavingIncarnation() {
			announceAndPassSlowStart("w1", "w2");
			this.router.on(new ServerLeaving(BackendServerId.of("w1"), INCARNATION), RouterTests.this.now);
			this.router.on(new ServerRemoved(BackendServerId.of("w1"), INCARNATION), RouterTests.this.now);
			announceAndPassSlowStart("w1");
			assertThat(this.router.subset()).extracting(BackendServerId::value).containsExactly("w2");
		}

		@Test
		void newIncarnationOfALeavingServerIsUsed() {
			announceAndPassSlowStart("w1", "w2");
			this.router.on(new ServerLeaving(BackendServerId.of("w1"), INCARNATION), RouterTests.this.now);
			announce("w1", 2, NEAR, PROFILE);
			passSlowStart();
			assertThat(shareOf("w1")).isPositive();
		}

		@Test
		void endOfAnAttemptOfAnEarlierIncarnationDoesNotAffectTheNewOne() {
			announceAndPassSlowStart("w1");
			RouteChoice choice = send(request(10));
			announce("w1", 2, NEAR, PROFILE);
			this.router.on(new AttemptFinished(new AttemptId(RequestId.of("r1"), 1)), RouterTests.this.now);
			assertThat(this.router.inFlight(choice.server())).isZero();
			assertThat(this.router.breaches()).isZero();
		}

	}

	@Nested
	class Ejection {

		private final Router router = RouterTests.this.router;

		@Test
		void ejectsAServerThatFailsInARow() {
			announceAndPassSlowStart("w1", "w2", "w3");
			fail("w1", 5);
			assertThat(this.router.ejected(RouterTests.this.now)).containsExactly(BackendServerId.of("w1"));
			assertThat(shareOf("w1")).isZero();
		}

		@Test
		void neverEjectsMoreThanTheMaximumShare() {
			announceAndPassSlowStart("w1", "w2", "w3");
			fail("w1", 5);
			fail("w2", 5);
			assertThat(this.router.ejected(RouterTests.this.now)).hasSize(1);
		}

		@Test
		void endsAnEjectionWhenOtherServersLeave() {
			announceAndPassSlowStart("w1", "w2", "w3");
			fail("w1", 5);
			this.router.on(new ServerLeaving(BackendServerId.of("w2"), INCARNATION), RouterTests.this.now);
			assertThat(this.router.ejected(RouterTests.this.now)).isEmpty();
		}

		@Test
		void ejectedServerIsUsedAgainAndEjectedLongerTheNextTime() {
			announceAndPassSlowStart("w1", "w2", "w3");
			fail("w1", 5);
			RouterTests.this.now += Duration.ofSeconds(10).toNanos();
			assertThat(this.router.ejected(RouterTests.this.now)).isEmpty();
			assertThat(fail("w1", 5)).contains(new ServerEjected(BackendServerId.of("w1"), Duration.ofSeconds(20)));
		}

		private List<RouterCommand> fail(String server, int times) {
			Set<BackendServerId> others = new HashSet<>(this.router.subset());
			others.remove(BackendServerId.of(server));
			List<RouterCommand> commands = List.of();
			for (int i = 0; i < times; i++) {
				RouteRequest request = new RouteRequest(RequestId.of(server + "-" + RouterTests.this.now + "-" + i),
						PriorityClass.STANDARD, 0, PromptChain.EMPTY, Optional.empty(), others);
				send(request);
				commands = this.router.on(new AttemptFailed(new AttemptId(request.request(), 1)), RouterTests.this.now);
			}
			return commands;
		}

	}

}
