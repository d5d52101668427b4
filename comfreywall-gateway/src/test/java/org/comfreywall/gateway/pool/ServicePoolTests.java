package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServicePool}.
 */
class ServicePoolTests {

	private static final long MILLI = 1_000_000;

	private final ServicePool pool = new ServicePool("a", new Random(7));

	private long ids;

	private static ServerAnnouncement server(int number, int slots) {
		return new ServerAnnouncement("s" + number, "service", new HostPort("127.0.0.1", 1000 + number), "a", 1, 1,
				slots, ServerState.READY);
	}

	private WaitingRequest request(int priority, long arrival, long wait) {
		return new WaitingRequest(++this.ids, priority, false, arrival, arrival + wait, Set.of());
	}

	@Nested
	class Placing {

		@Test
		void distributesRequestsEvenlyOverServers() {
			for (int i = 0; i < 16; i++) {
				ServicePoolTests.this.pool.updateServer(server(i, 8), 0);
			}
			Map<String, Integer> sent = new HashMap<>();
			for (int i = 0; i < 64; i++) {
				SlotDecision decision = ServicePoolTests.this.pool.offer(request(1, i, MILLI), i);
				sent.merge(((SlotGranted) decision).server().announcement().server(), 1, Integer::sum);
			}
			assertThat(sent.values()).allMatch((count) -> count == 4);
		}

		@Test
		void countsWhatOtherEntriesHaveInFlight() {
			ServicePoolTests.this.pool.updateServer(server(0, 8), 0);
			ServicePoolTests.this.pool.updateServer(server(1, 8), 0);
			ServicePoolTests.this.pool.updateInFlight("other", Map.of("s0", 6), 0);
			for (int i = 0; i < 4; i++) {
				SlotGranted granted = (SlotGranted) ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0);
				assertThat(granted.server().announcement().server()).isEqualTo("s1");
			}
		}

		@Test
		void countsOfASilentEntryExpireAndOccupyNoSlots() {
			ServicePoolTests.this.pool.updateServer(server(0, 8), 0);
			ServicePoolTests.this.pool.updateInFlight("killed", Map.of("s0", 8), 0);
			ServicePoolTests.this.pool.updateInFlight("alive", Map.of(), 0);
			assertThat(ServicePoolTests.this.pool.offer(request(1, 0, 2000 * MILLI), 0))
				.isInstanceOf(SlotPending.class);
			ServicePoolTests.this.pool.updateInFlight("alive", Map.of("s0", 7), 1000 * MILLI);
			assertThat(ServicePoolTests.this.pool.processQueue(1000 * MILLI)).singleElement()
				.isInstanceOf(SlotGranted.class);
			assertThat(ServicePoolTests.this.pool.offer(request(1, 0, 2000 * MILLI), 1000 * MILLI))
				.isInstanceOf(SlotPending.class);
		}

		@Test
		void aSlowRankGetsRequestsOnlyWhenTheOtherServersAreNearlyFull() {
			for (int i = 0; i < 4; i++) {
				ServicePoolTests.this.pool.updateServer(server(i, 8), 0);
			}
			ServicePoolTests.this.pool.updateSlowdowns(Map.of(new HostPort("127.0.0.1", 1000), 2.5));
			Map<String, Integer> sent = new HashMap<>();
			for (int i = 0; i < 21; i++) {
				SlotGranted granted = (SlotGranted) ServicePoolTests.this.pool.offer(request(1, i, MILLI), i);
				sent.merge(granted.server().announcement().server(), 1, Integer::sum);
			}
			assertThat(sent.getOrDefault("s0", 0)).isZero();
			for (int i = 0; i < 11; i++) {
				assertThat(ServicePoolTests.this.pool.offer(request(1, i, MILLI), i)).isInstanceOf(SlotGranted.class);
			}
		}

		@Test
		void sendsNothingToServersThatAreLeaving() {
			ServicePoolTests.this.pool.updateServer(server(0, 8), 0);
			ServicePoolTests.this.pool.updateServer(server(0, 8).withState(ServerState.LEAVING), 0);
			assertThat(ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0)).isInstanceOf(SlotRefused.class);
		}

		@Test
		void ejectsAServerWhoseConnectionsFail() {
			ServicePoolTests.this.pool.updateServer(server(0, 8), 0);
			ServicePoolTests.this.pool.updateServer(server(1, 8), 0);
			PoolServer broken = ServicePoolTests.this.pool.servers()
				.stream()
				.filter((server) -> server.announcement().server().equals("s0"))
				.findFirst()
				.orElseThrow();
			for (int i = 0; i < 2; i++) {
				broken.recordSent();
				ServicePoolTests.this.pool.release(broken, AttemptResult.BROKEN, 0, 0);
			}
			for (int i = 0; i < 8; i++) {
				SlotGranted granted = (SlotGranted) ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0);
				assertThat(granted.server().announcement().server()).isEqualTo("s1");
			}
		}

		@Test
		void neverSendsToAnExcludedServer() {
			ServicePoolTests.this.pool.updateServer(server(0, 8), 0);
			WaitingRequest request = new WaitingRequest(1, 1, false, 0, MILLI, Set.of("s0"));
			assertThat(ServicePoolTests.this.pool.offer(request, 0)).isNotInstanceOf(SlotGranted.class);
		}

		@Test
		void aRestartedServerHasNoRequestsInFlight() {
			ServicePoolTests.this.pool.updateServer(server(0, 1), 0);
			ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0);
			ServicePoolTests.this.pool.updateServer(new ServerAnnouncement("s0", "service",
					new HostPort("127.0.0.1", 1000), "a", 2, 1, 1, ServerState.READY), 0);
			assertThat(ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0)).isInstanceOf(SlotGranted.class);
		}

	}

	@Nested
	class Queueing {

		@Test
		void startsTheRequestWithTheHighestPriorityFirst() {
			ServicePoolTests.this.pool.updateServer(server(0, 1), 0);
			SlotGranted first = (SlotGranted) ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0);
			WaitingRequest late = request(2, 1, 1000 * MILLI);
			WaitingRequest urgent = request(0, 2, 1000 * MILLI);
			ServicePoolTests.this.pool.offer(late, 1);
			ServicePoolTests.this.pool.offer(urgent, 2);
			ServicePoolTests.this.pool.release(first.server(), AttemptResult.ANSWERED, MILLI, MILLI);
			List<SlotDecision> decisions = ServicePoolTests.this.pool.processQueue(MILLI);
			assertThat(decisions).singleElement().isInstanceOf(SlotGranted.class);
			assertThat(decisions.get(0).request()).isEqualTo(urgent.id());
		}

		@Test
		void immediatelyRejectsRequestsThatCannotStartInTime() {
			ServicePoolTests.this.pool.updateServer(server(0, 1), 0);
			long now = 0;
			for (int i = 0; i < 4; i++) {
				SlotGranted run = (SlotGranted) ServicePoolTests.this.pool.offer(request(1, now, MILLI), now);
				now += 500 * MILLI;
				ServicePoolTests.this.pool.release(run.server(), AttemptResult.ANSWERED, 0, now);
			}
			ServicePoolTests.this.pool.offer(request(1, now, MILLI), now);
			SlotDecision decision = ServicePoolTests.this.pool.offer(request(1, now, 100 * MILLI), now);
			assertThat(decision).isInstanceOf(SlotRefused.class);
			assertThat(((SlotRefused) decision).retryAfter()).isPositive();
		}

		@Test
		void startsNewRequestsBeforeThoseThatWereRejectedBefore() {
			ServicePoolTests.this.pool.updateServer(server(0, 1), 0);
			SlotGranted first = (SlotGranted) ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0);
			WaitingRequest back = new WaitingRequest(90, 1, true, 1, 1000 * MILLI, Set.of());
			WaitingRequest fresh = request(1, 2, 1000 * MILLI);
			ServicePoolTests.this.pool.offer(back, 1);
			ServicePoolTests.this.pool.offer(fresh, 2);
			ServicePoolTests.this.pool.release(first.server(), AttemptResult.ANSWERED, MILLI, MILLI);
			assertThat(ServicePoolTests.this.pool.processQueue(MILLI)).singleElement()
				.extracting(SlotDecision::request)
				.isEqualTo(fresh.id());
		}

		@Test
		void aCancelledRequestIsNotStarted() {
			ServicePoolTests.this.pool.updateServer(server(0, 1), 0);
			SlotGranted first = (SlotGranted) ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0);
			WaitingRequest waiting = request(1, 1, 1000 * MILLI);
			ServicePoolTests.this.pool.offer(waiting, 1);
			ServicePoolTests.this.pool.cancelWaiting(waiting.id());
			ServicePoolTests.this.pool.release(first.server(), AttemptResult.ANSWERED, MILLI, MILLI);
			assertThat(ServicePoolTests.this.pool.processQueue(MILLI)).isEmpty();
		}

	}

	@Nested
	class GroupFault {

		@Test
		void rejectsRequestsDuringAGroupFaultAndProbesTheGroupSoonAfter() {
			ServicePoolTests.this.pool.updateServer(server(0, 1), 0);
			ServicePoolTests.this.pool.offer(request(1, 0, MILLI), 0);
			ServicePoolTests.this.pool.offer(request(1, 0, 1000 * MILLI), 0);
			ServicePoolTests.this.pool.recordGroupFault(MILLI);
			assertThat(ServicePoolTests.this.pool.processQueue(MILLI)).singleElement().isInstanceOf(SlotRefused.class);
			ServicePoolTests.this.pool.updateServer(server(1, 1), 0);
			SlotDecision refused = ServicePoolTests.this.pool.offer(request(1, MILLI, 1000 * MILLI), MILLI);
			assertThat(((SlotRefused) refused).retryAfter()).isGreaterThan(Duration.ofSeconds(1));
			assertThat(ServicePoolTests.this.pool.offer(request(1, 0, 1000 * MILLI), 400 * MILLI))
				.isInstanceOf(SlotGranted.class);
		}

	}

	/**
	 * Simulates a group that loses a server: requests stall for 1.5 s and are then
	 * rejected, the server restarts after 3.1 s, and the group serves again 0.6 s later.
	 * Callers come back once, after the delay that they were told, but at most a third of
	 * the time that they have left.
	 */
	@Nested
	class GroupOutages {

		private static final long STALL = 1500 * MILLI;

		private static final long RESTART = 3100 * MILLI;

		private static final long OPEN = 3700 * MILLI;

		private static final long NEWS_DELAY = 200 * MILLI;

		private static final long DEADLINE = 8000 * MILLI;

		private static final long LONGEST_WAIT = 1200 * MILLI;

		private final Map<Long, Long> arrivals = new HashMap<>();

		private final Map<Long, Long> firstArrivals = new HashMap<>();

		private final Map<Long, Long> returns = new HashMap<>();

		private final Map<Long, PoolServer> stalled = new HashMap<>();

		private int served;

		private int lost;

		@Test
		void callersThatComeBackOnceAreServed() {
			for (int i = 0; i < 16; i++) {
				ServicePoolTests.this.pool.updateServer(server(i, 8), 0);
			}
			int arrived = 0;
			for (long now = 0; now < 7000 * MILLI; now += 10 * MILLI) {
				if (now == STALL) {
					Map.copyOf(this.stalled).forEach((id, server) -> reject(id, server, STALL));
				}
				if (now == RESTART + NEWS_DELAY) {
					ServicePoolTests.this.pool.updateServer(new ServerAnnouncement("restarted", "service",
							new HostPort("127.0.0.1", 1000), "a", 2, 1, 8, ServerState.READY), now);
				}
				for (SlotDecision decision : ServicePoolTests.this.pool.processQueue(now)) {
					handle(decision, now);
				}
				for (long id : List.copyOf(this.returns.keySet())) {
					if (this.returns.get(id) <= now) {
						this.returns.remove(id);
						offer(this.firstArrivals.get(id), now);
					}
				}
				if (now < OPEN && now % (20 * MILLI) == 0) {
					arrived++;
					offer(now, now);
				}
			}
			assertThat(this.served + this.lost).isEqualTo(arrived);
			assertThat(this.served).isGreaterThan(arrived * 95 / 100);
		}

		private void offer(long firstArrival, long now) {
			long wait = Math.min(LONGEST_WAIT, (firstArrival + DEADLINE - now) / 2);
			WaitingRequest request = request(1, now, wait);
			this.arrivals.put(request.id(), now);
			this.firstArrivals.put(request.id(), firstArrival);
			handle(ServicePoolTests.this.pool.offer(request, now), now);
		}

		private void handle(SlotDecision decision, long now) {
			if (decision instanceof SlotRefused refused) {
				refuse(refused, now);
			}
			else if (decision instanceof SlotGranted granted) {
				if (now >= OPEN) {
					this.served++;
					ServicePoolTests.this.pool.release(granted.server(), AttemptResult.ANSWERED, 0, now);
				}
				else if (now < STALL) {
					this.stalled.put(granted.request(), granted.server());
				}
				else {
					reject(granted.request(), granted.server(), now);
				}
			}
		}

		// As Exchange does: the request is offered again, to any other server.
		private void reject(long id, PoolServer server, long now) {
			ServicePoolTests.this.pool.release(server, AttemptResult.REJECTED, 0, now);
			ServicePoolTests.this.pool.recordGroupFault(now);
			long wait = Math.min(LONGEST_WAIT, (this.firstArrivals.get(id) + DEADLINE - now) / 2);
			handle(ServicePoolTests.this.pool.offer(new WaitingRequest(id, 1, false, now, now + wait, Set.of()), now),
					now);
		}

		private void refuse(SlotRefused refused, long now) {
			long id = refused.request();
			long first = this.firstArrivals.get(id);
			if (this.arrivals.get(id) > first) {
				this.lost++;
				return;
			}
			long left = first + DEADLINE - now;
			this.returns.put(id, now + Math.min(refused.retryAfter().toNanos(), left / 3));
		}

	}

	/**
	 * Simulates a load well below the capacity, distributed by entries that exchange
	 * their counts five times a second. A request that is sent to a full server would
	 * wait there although other servers have free slots.
	 */
	@Nested
	class SharedServers {

		@ParameterizedTest
		@CsvSource({ "16, 72, 7, 190", "7, 16, 8, 53", "7, 16, 8, 20", "2, 16, 8, 45" })
		void lessThanOnePercentOfRequestsAreSentToAFullServer(int entries, int servers, int slots, double perSecond) {
			SharedLoadSimulation load = new SharedLoadSimulation(entries, servers, slots, new Random(3));
			load.simulate(perSecond, Duration.ofMillis(1500), Duration.ofSeconds(120));
			assertThat(load.fullServerShare()).isLessThan(0.01);
			assertThat(load.refused()).isZero();
		}

		@Test
		void fewRequestsAreSentToAFullServerNearTheCapacity() {
			SharedLoadSimulation load = new SharedLoadSimulation(16, 72, 7, new Random(3));
			load.simulate(260, Duration.ofMillis(1500), Duration.ofSeconds(120));
			assertThat(load.fullServerShare()).isLessThan(0.1);
		}

	}

	/**
	 * Simulates a load of twice the capacity.
	 */
	@Nested
	class Overload {

		private static final int SERVERS = 4;

		private static final int SLOTS = 4;

		private static final long RUN = 1000 * MILLI;

		private static final long LONGEST_WAIT = 1200 * MILLI;

		@Test
		void servesAtCapacityAndDecidesOnEveryRequestInTime() {
			for (int i = 0; i < SERVERS; i++) {
				ServicePoolTests.this.pool.updateServer(server(i, SLOTS), 0);
			}
			Map<Long, PoolServer> running = new HashMap<>();
			Map<Long, Long> ends = new HashMap<>();
			Map<Long, Long> arrivals = new HashMap<>();
			int granted = 0;
			int refusedLate = 0;
			int refused = 0;
			for (long now = 0; now < 20_000 * MILLI; now += 10 * MILLI) {
				List<SlotDecision> decisions = new ArrayList<>();
				for (long id : List.copyOf(ends.keySet())) {
					if (ends.get(id) <= now) {
						ends.remove(id);
						ServicePoolTests.this.pool.release(running.remove(id), AttemptResult.ANSWERED, RUN, now);
					}
				}
				decisions.addAll(ServicePoolTests.this.pool.processQueue(now));
				if (now % (30 * MILLI) == 0) {
					WaitingRequest request = request(1, now, LONGEST_WAIT);
					arrivals.put(request.id(), now);
					decisions.add(ServicePoolTests.this.pool.offer(request, now));
				}
				for (SlotDecision decision : decisions) {
					long waited = now - arrivals.get(decision.request());
					assertThat(waited).isLessThanOrEqualTo(LONGEST_WAIT + 10 * MILLI);
					if (decision instanceof SlotGranted place) {
						granted++;
						running.put(decision.request(), place.server());
						ends.put(decision.request(), now + RUN);
					}
					else if (decision instanceof SlotRefused) {
						refused++;
						refusedLate += (waited > 0) ? 1 : 0;
					}
				}
			}
			int capacity = 20 * SERVERS * SLOTS;
			assertThat(granted).isGreaterThan(capacity * 9 / 10);
			assertThat(refusedLate).isLessThan(refused / 4);
		}

	}

}
