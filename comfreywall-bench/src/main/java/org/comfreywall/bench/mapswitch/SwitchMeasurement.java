package org.comfreywall.bench.mapswitch;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.comfreywall.group.mapswitch.AgentSettings;
import org.comfreywall.group.mapswitch.CoordinatorSettings;
import org.comfreywall.group.mapswitch.ReleaseSwitch;

/**
 * Measures how many steps a map switch delays in a group of 32 ranks, without faults and
 * with a delayed rank, a lost message or a crash of the coordinator.
 */
public final class SwitchMeasurement implements Measurement {

	private static final int RANKS = 32;

	private static final int LATE_RANK = 7;

	private static final long STEP_NANOS = Duration.ofMillis(30).toNanos();

	private static final long LOAD_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long RANK_DELAY_NANOS = Duration.ofMillis(1).toNanos();

	private static final long LEDGER_DELAY_NANOS = Duration.ofMillis(4).toNanos();

	private static final long LATE_DELAY_NANOS = Duration.ofMillis(500).toNanos();

	private static final long ELECTION_DELAY_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long WARM_UP_NANOS = Duration.ofSeconds(10).toNanos();

	private static final long TIME_LIMIT_NANOS = Duration.ofSeconds(40).toNanos();

	private final List<SwitchScenario> scenarios = List
		.of(new SwitchScenario("usual", SwitchMeasurement::usualDelays, (simulation) -> {
		}), new SwitchScenario("one-late-rank", SwitchMeasurement::lateRankDelays, (simulation) -> {
		}), new SwitchScenario("lost-decision-message", new FirstReleaseLost(), (simulation) -> {
		}), new SwitchScenario("coordinator-dies-after-arming", SwitchMeasurement::usualDelays,
				(simulation) -> simulation.currentCoordinator().crashBeforeCommit()),
				new SwitchScenario("coordinator-dies-after-decision", SwitchMeasurement::usualDelays,
						(simulation) -> simulation.currentCoordinator().crashAfterCommit()));

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		for (SwitchScenario scenario : this.scenarios) {
			measure(scenario, new Random(options.seed()), reporter);
		}
	}

	private static void measure(SwitchScenario scenario, RandomGenerator random, Reporter reporter) {
		SwitchSimulation simulation = new SwitchSimulation(
				SimulationSettings.of(RANKS, AgentSettings.DEFAULT, CoordinatorSettings.DEFAULT, LOAD_NANOS),
				SwitchMeasurement::usualDelays, () -> STEP_NANOS + random.nextLong(STEP_NANOS / 5));
		simulation.start();
		simulation.runUntil(WARM_UP_NANOS);
		simulation.link().setPolicy(scenario.linkPolicy());
		scenario.prepare().accept(simulation);
		simulation.resetCounters();
		simulation.requestSwitch();
		runUntilSwitched(simulation);
		report(scenario, simulation, reporter);
	}

	private static void runUntilSwitched(SwitchSimulation simulation) {
		long end = simulation.queue().now() + TIME_LIMIT_NANOS;
		Consumer<SwitchSimulation> replaceCoordinator = (target) -> {
			target.startCoordinator();
			target.requestSwitch();
		};
		boolean electionScheduled = false;
		while (simulation.queue().now() < end && simulation.committedSwitches() == 0) {
			simulation.queue().runNext();
			if (!simulation.currentCoordinator().isAlive() && !electionScheduled) {
				electionScheduled = true;
				simulation.queue().schedule(ELECTION_DELAY_NANOS, () -> replaceCoordinator.accept(simulation));
			}
		}
		simulation.runUntil(simulation.queue().now() + CoordinatorSettings.DEFAULT.maxLeadNanos());
	}

	private static void report(SwitchScenario scenario, SwitchSimulation simulation, Reporter reporter) {
		reporter.result("mapswitch-" + scenario.name(), Field.of("ranks", RANKS),
				Field.of("steps-delayed", simulation.delayedSteps()),
				Field.of("longest-wait-ms", simulation.longestWaitNanos() / 1_000_000.0),
				Field.of("messages", simulation.switchMessages()),
				Field.of("commits", simulation.stepAudit().commits() - 1),
				Field.of("aborts", simulation.stepAudit().aborts()),
				Field.of("violations", simulation.stepAudit().violations().size()));
		if (scenario.name().equals("usual")) {
			reporter.atMost("steps-delayed-by-a-usual-switch", simulation.delayedSteps(), 0);
		}
		reporter.atLeast("committed-" + scenario.name(), simulation.committedSwitches(), 1);
		reporter.atMost("violations-" + scenario.name(), simulation.stepAudit().violations().size(), 0);
	}

	private static long[] usualDelays(int rank, Object message) {
		return new long[] { (rank == Link.LEDGER) ? LEDGER_DELAY_NANOS : RANK_DELAY_NANOS };
	}

	private static long[] lateRankDelays(int rank, Object message) {
		return (rank == LATE_RANK) ? new long[] { LATE_DELAY_NANOS } : usualDelays(rank, message);
	}

	/**
	 * Loses the first message that carries the decision to one rank.
	 */
	private static final class FirstReleaseLost implements LinkPolicy {

		private boolean lost;

		@Override
		public long[] deliveryDelays(int rank, Object message) {
			if (!this.lost && rank == LATE_RANK && message instanceof ReleaseSwitch) {
				this.lost = true;
				return new long[0];
			}
			return usualDelays(rank, message);
		}

	}

}
