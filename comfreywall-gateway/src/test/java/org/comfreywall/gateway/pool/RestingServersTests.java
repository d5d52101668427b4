package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServicePool} with servers that ask for a time without requests.
 */
class RestingServersTests {

	private static final long MILLI = 1_000_000;

	private static final Duration REST = Duration.ofSeconds(2);

	/** The rest with the longest delay of its end. */
	private static final long RESUMED = 2_400 * MILLI;

	private static final int SLOTS = 8;

	private final ServicePool pool = new ServicePool("a", new Random(13));

	private long ids;

	private static ServerAnnouncement server(int number, long started) {
		return new ServerAnnouncement("s" + number, "service", new HostPort("127.0.0.1", 1000 + number), "a", started,
				1, SLOTS, ServerState.READY);
	}

	private SlotDecision offer(long now, String... excluded) {
		return this.pool.offer(new WaitingRequest(++this.ids, 1, false, now, now + 10_000 * MILLI, Set.of(excluded)),
				now);
	}

	private void finish(SlotDecision granted, long now) {
		this.pool.release(((SlotGranted) granted).server(), AttemptResult.ANSWERED, MILLI, now);
	}

	@Nested
	class Resting {

		@Test
		void otherServersGetTheRequests() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.updateServer(server(1, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			for (int i = 0; i < SLOTS; i++) {
				SlotGranted granted = (SlotGranted) offer(i);
				assertThat(granted.server().announcement().server()).isEqualTo("s1");
			}
			assertThat(offer(SLOTS)).isInstanceOf(SlotPending.class);
		}

		@Test
		void aRequestThatGotItsSlotBeforeIsNotSentUntilTheEnd() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			PoolServer granted = ((SlotGranted) offer(0)).server();
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			assertThat(RestingServersTests.this.pool.canStart(granted, REST.toNanos() - 1)).isFalse();
			assertThat(RestingServersTests.this.pool.canStart(granted, RESUMED)).isTrue();
		}

		@Test
		void aShorterTimeDoesNotShortenTheRest() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			assertThat(RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0)).isPresent();
			assertThat(RestingServersTests.this.pool.recordRest(server(0, 1), Duration.ofMillis(100), 0)).isEmpty();
			assertThat(offer(REST.toNanos() - 1000 * MILLI)).isInstanceOf(SlotRefused.class);
		}

		@Test
		void aVeryLongTimeIsCut() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), Duration.ofDays(10_000), 0);
			assertThat(offer(Duration.ofMinutes(4).toNanos())).isInstanceOf(SlotRefused.class);
			assertThat(offer(Duration.ofMinutes(6).toNanos())).isInstanceOf(SlotGranted.class);
		}

		@Test
		void neitherRemovalNorAnAnnouncementEndsTheRest() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			RestingServersTests.this.pool.updateServer(server(0, 1), 1);
			assertThat(offer(1)).isInstanceOf(SlotRefused.class);
			RestingServersTests.this.pool.removeServer("s0");
			RestingServersTests.this.pool.updateServer(server(0, 1), 2);
			assertThat(offer(2)).isInstanceOf(SlotRefused.class);
		}

		@Test
		void aNewIncarnationEndsTheRest() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			RestingServersTests.this.pool.updateServer(server(0, 2), 1);
			assertThat(offer(1)).isInstanceOf(SlotGranted.class);
			assertThat(RestingServersTests.this.pool.canStart(((SlotGranted) offer(1)).server(), 1)).isTrue();
		}

		@Test
		void aLateResponseOfAnEarlierIncarnationDoesNotConcernTheNewOne() {
			RestingServersTests.this.pool.updateServer(server(0, 2), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			assertThat(offer(1)).isInstanceOf(SlotGranted.class);
		}

	}

	@Nested
	class Resuming {

		@Test
		void aServerIsNotUsedBeforeTheEndAndThenGradually() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			assertThat(offer(REST.toNanos() - 1)).isNotInstanceOf(SlotGranted.class);
			List<SlotDecision> first = RestingServersTests.this.pool.processQueue(RESUMED);
			assertThat(first).singleElement().isInstanceOf(SlotGranted.class);
			int early = 0;
			while (offer(RESUMED) instanceof SlotGranted) {
				early++;
			}
			assertThat(1 + early).isLessThanOrEqualTo(SLOTS / 2);
			long later = RESUMED + 1000 * MILLI;
			finish(first.get(0), later);
			for (int i = early; i < SLOTS; i++) {
				offer(later);
			}
			RestingServersTests.this.pool.processQueue(later);
			assertThat(RestingServersTests.this.pool.servers()).singleElement()
				.extracting(PoolServer::inFlight)
				.isEqualTo(SLOTS);
		}

		@Test
		void entriesReturnAtDifferentTimes() {
			Set<Duration> times = new HashSet<>();
			for (int seed = 0; seed < 20; seed++) {
				ServicePool entry = new ServicePool("a", new Random(seed));
				times.add(entry.recordRest(server(0, 1), REST, 0).orElseThrow());
			}
			assertThat(times).hasSize(20)
				.allSatisfy((time) -> assertThat(time).isBetween(REST, Duration.ofNanos(RESUMED)));
		}

		@Test
		void aRestDoesNotMakeAServerWorseThanOthers() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			SlotGranted granted = (SlotGranted) offer(0);
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			RestingServersTests.this.pool.release(granted.server(), AttemptResult.REJECTED, MILLI, 0);
			assertThat(granted.server().errorRate()).isZero();
		}

	}

	@Nested
	class Refusing {

		@Test
		void callersGetTheShortestTimeLeftWhenAllServersRest() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.updateServer(server(1, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), Duration.ofSeconds(30), 0);
			assertThat(RestingServersTests.this.pool.retryAfterRest(0)).isEmpty();
			RestingServersTests.this.pool.recordRest(server(1, 1), Duration.ofSeconds(10), 0);
			Set<Duration> times = new HashSet<>();
			for (int i = 0; i < 20; i++) {
				SlotRefused refused = (SlotRefused) offer(0);
				assertThat(refused.reason()).isEqualTo("servers-resting");
				assertThat(refused.retryAfter()).isBetween(Duration.ofSeconds(10), Duration.ofMillis(13_650));
				times.add(refused.retryAfter());
			}
			assertThat(times).hasSize(20);
		}

		@Test
		void queuedRequestsAreRefusedAtOnceWhenTheLastServerRests() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			for (int i = 0; i < SLOTS; i++) {
				assertThat(offer(0)).isInstanceOf(SlotGranted.class);
			}
			assertThat(offer(0)).isInstanceOf(SlotPending.class);
			RestingServersTests.this.pool.recordRest(server(0, 1), REST, 0);
			assertThat(RestingServersTests.this.pool.processQueue(MILLI)).singleElement()
				.isInstanceOfSatisfying(SlotRefused.class,
						(refused) -> assertThat(refused.retryAfter()).isGreaterThanOrEqualTo(REST.minusMillis(1)));
		}

		@Test
		void aRequestWhoseOtherServersAllRestIsRefusedAtOnce() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.updateServer(server(1, 1), 0);
			RestingServersTests.this.pool.recordRest(server(1, 1), REST, 0);
			assertThat(offer(0, "s0")).isInstanceOfSatisfying(SlotRefused.class,
					(refused) -> assertThat(refused.retryAfter()).isLessThan(Duration.ofSeconds(1)));
		}

		@Test
		void aRequestWaitsForAnEndThatIsNear() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), Duration.ofMillis(200), 0);
			assertThat(offer(0)).isInstanceOf(SlotPending.class);
			assertThat(RestingServersTests.this.pool.processQueue(199 * MILLI)).isEmpty();
			assertThat(RestingServersTests.this.pool.processQueue(240 * MILLI)).singleElement()
				.isInstanceOf(SlotGranted.class);
		}

		@Test
		void aRequestThatMustStartBeforeTheEndIsRefusedAtOnce() {
			RestingServersTests.this.pool.updateServer(server(0, 1), 0);
			RestingServersTests.this.pool.recordRest(server(0, 1), Duration.ofMillis(200), 0);
			WaitingRequest urgent = new WaitingRequest(1, 1, false, 0, 100 * MILLI, Set.of());
			assertThat(RestingServersTests.this.pool.offer(urgent, 0)).isInstanceOf(SlotRefused.class);
		}

	}

}
