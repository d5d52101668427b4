package org.comfreywall.entry.admit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link AdmissionController}.
 */
class AdmissionControllerTests {

	private static final long MILLI = 1_000_000;

	private static final long FAR = Long.MAX_VALUE / 2;

	private final Invariants invariants = new Invariants();

	private AdmissionController controller(int concurrency, int maxQueued) {
		AdmissionSettings settings = new AdmissionSettings(QueueTimeLimits.DEFAULT, maxQueued, concurrency, concurrency,
				concurrency, Duration.ofMillis(200), 1.5);
		return new AdmissionController(settings, AccountWeights.EQUAL, new SplittableRandom(1), DecisionListener.NONE,
				this.invariants);
	}

	private static AdmissionRequest request(String id, String account, PriorityClass priority) {
		return new AdmissionRequest(RequestId.of(id), AccountId.of(account), priority, 1, FAR);
	}

	private static List<String> started(List<AdmissionCommand> commands) {
		List<String> ids = new ArrayList<>();
		for (AdmissionCommand command : commands) {
			if (command instanceof StartRequest start) {
				ids.add(start.id().value());
			}
		}
		return ids;
	}

	@Test
	void admitsRequestsUpToTheConcurrencyLimitAndQueuesTheRest() {
		AdmissionController controller = controller(1, 10);
		assertThat(controller.offer(request("1", "a", PriorityClass.STANDARD), 0).decision())
			.isInstanceOf(Admitted.class);
		assertThat(controller.offer(request("2", "a", PriorityClass.STANDARD), 0).decision())
			.isInstanceOf(Queued.class);
	}

	@Test
	void rejectsRequestThatIsAlreadyRunning() {
		AdmissionController controller = controller(1, 10);
		controller.offer(request("1", "a", PriorityClass.STANDARD), 0);
		assertThatIllegalArgumentException()
			.isThrownBy(() -> controller.offer(request("1", "a", PriorityClass.STANDARD), 0))
			.withMessageContaining("request 1");
	}

	@Test
	void countsAnEndReportedTwiceAsInvariantViolation() {
		AdmissionController controller = controller(1, 10);
		controller.offer(request("1", "a", PriorityClass.STANDARD), 0);
		controller.handleFinished(RequestId.of("1"), FinishKind.ANSWERED, 1);
		controller.handleFinished(RequestId.of("1"), FinishKind.ANSWERED, 2);
		assertThat(this.invariants.violations()).isEqualTo(1);
	}

	@Nested
	class Order {

		@Test
		void startsHigherClassFirst() {
			AdmissionController controller = controller(1, 10);
			controller.offer(request("running", "a", PriorityClass.STANDARD), 0);
			controller.offer(request("batch", "a", PriorityClass.BATCH), 0);
			controller.offer(request("interactive", "a", PriorityClass.INTERACTIVE), 1);
			assertThat(started(controller.handleFinished(RequestId.of("running"), FinishKind.ANSWERED, 2)))
				.containsExactly("interactive");
		}

		@Test
		void servesSmallAccountsFairlyBesideALargeOne() {
			AdmissionController controller = controller(1, 200);
			controller.offer(request("running", "large", PriorityClass.STANDARD), 0);
			for (int i = 0; i < 100; i++) {
				controller.offer(request("large-" + i, "large", PriorityClass.STANDARD), 0);
			}
			for (int i = 0; i < 10; i++) {
				controller.offer(request("small-" + i, "small-" + i, PriorityClass.STANDARD), 1);
			}
			List<String> order = new ArrayList<>(List.of("running"));
			while (order.size() < 13) {
				String last = order.get(order.size() - 1);
				order.addAll(started(controller.handleFinished(RequestId.of(last), FinishKind.ANSWERED, 2)));
			}
			assertThat(order.stream().filter((id) -> id.startsWith("small"))).hasSize(10);
		}

	}

	@Nested
	class Shedding {

		@Test
		void shedsRequestWhenItsTimeInQueueExpires() {
			AdmissionController controller = controller(1, 10);
			controller.offer(request("1", "a", PriorityClass.INTERACTIVE), 0);
			controller.offer(request("2", "a", PriorityClass.INTERACTIVE), 0);
			assertThat(controller.tick(499 * MILLI)).isEmpty();
			assertThat(controller.tick(500 * MILLI)).singleElement()
				.isInstanceOfSatisfying(ShedRequest.class,
						(shed) -> assertThat(shed.reason()).isEqualTo(RefusalReason.WAITED_IN_VAIN));
		}

		@Test
		void neverStartsRequestWhoseDeadlineHasPassed() {
			AdmissionController controller = controller(1, 10);
			controller.offer(request("1", "a", PriorityClass.STANDARD), 0);
			controller.offer(
					new AdmissionRequest(RequestId.of("2"), AccountId.of("a"), PriorityClass.STANDARD, 1, 10 * MILLI),
					0);
			List<AdmissionCommand> commands = controller.handleFinished(RequestId.of("1"), FinishKind.ANSWERED,
					10 * MILLI);
			assertThat(started(commands)).isEmpty();
			assertThat(controller.running()).isZero();
		}

		@Test
		void displacesLowestClassWhenTheQueueIsFull() {
			AdmissionController controller = controller(1, 1);
			controller.offer(request("1", "a", PriorityClass.STANDARD), 0);
			controller.offer(request("batch", "a", PriorityClass.BATCH), 0);
			AdmissionResult result = controller.offer(request("2", "b", PriorityClass.STANDARD), 0);
			assertThat(result.decision()).isInstanceOf(Queued.class);
			assertThat(result.commands()).singleElement()
				.isInstanceOfSatisfying(ShedRequest.class, (shed) -> assertThat(shed.id().value()).isEqualTo("batch"));
		}

		@Test
		void refusesRequestThatWouldWaitTooLong() {
			AdmissionController controller = controller(1, 100);
			long now = 0;
			controller.offer(request("0", "a", PriorityClass.INTERACTIVE), now);
			for (int i = 1; i <= 8; i++) {
				now += 100 * MILLI;
				controller.handleFinished(RequestId.of(String.valueOf(i - 1)), FinishKind.ANSWERED, now);
				controller.offer(request(String.valueOf(i), "a", PriorityClass.INTERACTIVE), now);
			}
			AdmissionDecision last = null;
			for (int i = 0; i < 10; i++) {
				last = controller.offer(request("more-" + i, "a", PriorityClass.INTERACTIVE), now).decision();
			}
			assertThat(last).isInstanceOfSatisfying(Refused.class, (refused) -> {
				assertThat(refused.reason()).isEqualTo(RefusalReason.WAIT_TOO_LONG);
				assertThat(refused.retryAfter()).isPositive();
			});
		}

	}

}
