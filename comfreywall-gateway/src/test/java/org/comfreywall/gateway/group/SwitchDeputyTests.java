package org.comfreywall.gateway.group;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SwitchDeputy}. {@link FakeGroup} asserts in every pass that all ranks
 * have the same map.
 */
class SwitchDeputyTests {

	private static final long MILLI = 1_000_000;

	private static final long TICK = 10 * MILLI;

	private static final long TIMEOUT = 80 * MILLI;

	private static final ExpertLayout LAYOUT = ExpertLayout.roundRobin(1, 8, 8);

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 5, 9, 10 })
	void completesASwitchWhoseCoordinatorFails(int orders) {
		FakeGroup group = new FakeGroup(8, 0, new Random(1));
		new Simulation(group, orders).run(4);
		assertThat(group.switches()).isEqualTo(1);
		assertThat(group.longestHold()).isLessThanOrEqualTo(200 * MILLI);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16 })
	void allRanksKeepTheSameMapWhileCoordinatorAndDeputySendLateOrders(long seed) {
		Random random = new Random(seed);
		FakeGroup group = new FakeGroup(8, 0.25, random);
		Simulation simulation = new Simulation(group,
				(random.nextInt(3) == 0) ? 1 + random.nextInt(12) : Integer.MAX_VALUE);
		simulation.completionNoticeLost = true;
		simulation.run(120);
		assertThat(group.switches()).isPositive();
	}

	@Nested
	class Refused {

		@Test
		void endsIfThePassHasBegun() {
			SwitchDeputy deputy = new SwitchDeputy(new DelegatedSwitch("g", 1, 5, 9, 0, List.of("a", "b")), TIMEOUT, 0);
			assertThat(deputy.tick(TIMEOUT)).isEmpty();
			List<RankOrder> orders = deputy.tick(TIMEOUT + TICK);
			assertThat(orders).singleElement().extracting(RankOrder::order).isEqualTo(new HoldStep(1, 9));
			deputy.handleAnswer(orders.get(0), OrderAnswer.REFUSED);
			assertThat(deputy.isDone(TIMEOUT + TICK)).isTrue();
			assertThat(deputy.tick(TIMEOUT + 100 * TICK)).isEmpty();
		}

		@Test
		void doesNotReleaseAPassBeforeAllRanksAreArmed() {
			SwitchDeputy deputy = new SwitchDeputy(new DelegatedSwitch("g", 1, 5, 9, 0, List.of("a", "b")), 0, 0);
			deputy.handleAnswer(deputy.tick(TICK).get(0), OrderAnswer.TAKEN);
			List<RankOrder> arms = deputy.tick(2 * TICK);
			assertThat(arms).hasSize(2);
			deputy.handleAnswer(arms.get(0), OrderAnswer.TAKEN);
			deputy.handleAnswer(arms.get(1), OrderAnswer.REFUSED);
			assertThat(deputy.tick(20 * TICK)).singleElement()
				.extracting(RankOrder::order)
				.isEqualTo(new ArmMap(1, 5, 9));
		}

	}

	/**
	 * Simulates a coordinator that fails after a number of orders, and its deputy.
	 */
	private static final class Simulation {

		private final FakeGroup group;

		private final MapSwitch coordinator = new MapSwitch();

		private Optional<SwitchDeputy> deputy = Optional.empty();

		private int ordersLeft;

		private boolean completionNoticeLost;

		private Simulation(FakeGroup group, int ordersLeft) {
			this.group = group;
			this.ordersLeft = ordersLeft;
		}

		private void run(long seconds) {
			for (long now = 0; now < seconds * 1000 * MILLI; now += TICK) {
				this.group.advance(now);
				coordinate(now);
				actAsDeputy(now);
			}
		}

		private void coordinate(long now) {
			if (this.ordersLeft == 0) {
				return;
			}
			for (int rank = 0; rank < this.group.size(); rank++) {
				this.coordinator.addReport(this.group.report(rank, now), now);
			}
			if (this.coordinator.canStart(now)) {
				this.coordinator.start(LAYOUT, 1, now);
			}
			send(this.coordinator.tick(now), now);
			Optional<DelegatedSwitch> delegatedSwitch = this.coordinator.delegatedSwitch("g");
			if (delegatedSwitch.isPresent()
					&& (this.deputy.isEmpty() || !this.deputy.get().delegatedSwitch().equals(delegatedSwitch.get()))) {
				this.deputy = Optional.of(new SwitchDeputy(delegatedSwitch.get(), TIMEOUT, now));
				this.coordinator.handleDelegationConfirmed(delegatedSwitch.get(), now);
			}
			else if (delegatedSwitch.isEmpty() && !this.completionNoticeLost) {
				this.deputy = Optional.empty();
			}
		}

		private void send(List<RankOrder> orders, long now) {
			for (RankOrder order : orders) {
				boolean counts = !(order.order() instanceof PrepareMap);
				if (this.ordersLeft > 0) {
					OrderAnswer answer = this.group.handleOrder(order.rank(), order.order(), now);
					this.ordersLeft -= counts ? 1 : 0;
					if (this.ordersLeft > 0) {
						this.coordinator.handleAnswer(order, answer, now);
					}
				}
			}
		}

		private void actAsDeputy(long now) {
			this.deputy.filter((acting) -> !acting.isDone(now))
				.ifPresent((acting) -> acting.tick(now)
					.forEach((order) -> acting.handleAnswer(order,
							this.group.handleOrder(order.rank(), order.order(), now))));
		}

	}

}
