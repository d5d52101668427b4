package org.comfreywall.gateway.pool;

import java.util.Random;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServicePool} with servers that say in a response that they leave.
 */
class LeavingServersTests {

	private static final long MILLI = 1_000_000;

	private final ServicePool pool = new ServicePool("a", new Random(11));

	private long ids;

	private static ServerAnnouncement server(int number, long started, long sequence) {
		return new ServerAnnouncement("s" + number, "service", new HostPort("127.0.0.1", 1000 + number), "a", started,
				sequence, 1, ServerState.READY);
	}

	private SlotDecision offer(long now) {
		return this.pool.offer(new WaitingRequest(++this.ids, 1, false, now, now + 1000 * MILLI, Set.of()), now);
	}

	@Nested
	class Placing {

		@Test
		void aServerThatSaidThatItLeavesGetsNoRequest() {
			LeavingServersTests.this.pool.updateServer(server(0, 1, 1), 0);
			LeavingServersTests.this.pool.updateServer(server(1, 1, 1), 0);
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			SlotGranted granted = (SlotGranted) offer(0);
			assertThat(granted.server().announcement().server()).isEqualTo("s1");
			assertThat(offer(0)).isNotInstanceOf(SlotGranted.class);
		}

		@Test
		void aRequestThatGotItsSlotBeforeIsNotSentAnyMore() {
			LeavingServersTests.this.pool.updateServer(server(0, 1, 1), 0);
			PoolServer granted = ((SlotGranted) offer(0)).server();
			assertThat(LeavingServersTests.this.pool.canStart(granted, 0)).isTrue();
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			assertThat(LeavingServersTests.this.pool.canStart(granted, 0)).isFalse();
		}

		@Test
		void aServerIsReportedAsLeavingOnce() {
			assertThat(LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1))).isTrue();
			assertThat(LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1))).isFalse();
			assertThat(LeavingServersTests.this.pool.recordLeaving(server(0, 2, 1))).isTrue();
			assertThat(LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1))).isFalse();
		}

	}

	@Nested
	class Announcing {

		@Test
		void noAnnouncementOfTheSameIncarnationMakesItReadyAgain() {
			LeavingServersTests.this.pool.updateServer(server(0, 1, 5), 0);
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 5));
			LeavingServersTests.this.pool.updateServer(server(0, 1, 4), 1);
			assertThat(offer(1)).isInstanceOf(SlotRefused.class);
			LeavingServersTests.this.pool.updateServer(server(0, 1, 9), 2);
			assertThat(offer(2)).isInstanceOf(SlotRefused.class);
		}

		@Test
		void itsRemovalDoesNotMakeItReadyAgain() {
			LeavingServersTests.this.pool.updateServer(server(0, 1, 1), 0);
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			LeavingServersTests.this.pool.removeServer("s0");
			LeavingServersTests.this.pool.updateServer(server(0, 1, 2), 1);
			assertThat(offer(1)).isInstanceOf(SlotRefused.class);
		}

		@Test
		void aServerThatIsAnnouncedAfterItsResponseGetsNoRequest() {
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			LeavingServersTests.this.pool.updateServer(server(0, 1, 2), 1);
			assertThat(offer(1)).isInstanceOf(SlotRefused.class);
		}

		@Test
		void aNewIncarnationGetsRequests() {
			LeavingServersTests.this.pool.updateServer(server(0, 1, 1), 0);
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			LeavingServersTests.this.pool.updateServer(server(0, 2, 1), 1);
			assertThat(offer(1)).isInstanceOf(SlotGranted.class);
		}

		@Test
		void aLateResponseOfAnEarlierIncarnationDoesNotConcernTheNewOne() {
			LeavingServersTests.this.pool.updateServer(server(0, 2, 1), 0);
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			assertThat(offer(1)).isInstanceOf(SlotGranted.class);
		}

		@Test
		void findsTheLatestIncarnationAtAnAddress() {
			HostPort address = server(0, 1, 1).address();
			assertThat(LeavingServersTests.this.pool.findAt(address)).isEmpty();
			LeavingServersTests.this.pool.updateServer(server(0, 2, 1), 0);
			assertThat(LeavingServersTests.this.pool.findAt(address)).contains(server(0, 2, 1));
		}

	}

	@Nested
	class Refusing {

		@Test
		void queuedRequestsAreRefusedAtOnceWhenTheLastServerLeaves() {
			LeavingServersTests.this.pool.updateServer(server(0, 1, 1), 0);
			assertThat(offer(0)).isInstanceOf(SlotGranted.class);
			assertThat(offer(0)).isInstanceOf(SlotPending.class);
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			assertThat(LeavingServersTests.this.pool.processQueue(MILLI)).singleElement()
				.isInstanceOfSatisfying(SlotRefused.class, (refused) -> assertThat(refused.retryAfter()).isPositive());
			assertThat(LeavingServersTests.this.pool.queueLength()).isZero();
		}

		@Test
		void queuedRequestsWaitWhileAnotherServerRemains() {
			LeavingServersTests.this.pool.updateServer(server(0, 1, 1), 0);
			LeavingServersTests.this.pool.updateServer(server(1, 1, 1), 0);
			assertThat(offer(0)).isInstanceOf(SlotGranted.class);
			assertThat(offer(0)).isInstanceOf(SlotGranted.class);
			assertThat(offer(0)).isInstanceOf(SlotPending.class);
			LeavingServersTests.this.pool.recordLeaving(server(0, 1, 1));
			assertThat(LeavingServersTests.this.pool.processQueue(MILLI)).isEmpty();
		}

	}

}
