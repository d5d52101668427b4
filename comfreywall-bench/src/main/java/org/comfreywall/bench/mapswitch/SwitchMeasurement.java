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
 * Measures the steps that a map switch delays at 32 ranks, as usual and when something
 * goes wrong.
 */
public final class SwitchMeasurement implements Measurement {

	private static final int RANKS = 32;

	private static final int LATE_RANK = 7;

	private static final long STEP_NANOS = Duration.ofMillis(30).toNanos();

	private static final long LOAD_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long ONE_WAY_NANOS = Duration.ofMillis(1).toNanos();

	private static final long LEDGER_NANOS = Duration.ofMillis(4).toNanos();

	private static final long LATE_NANOS = Duration.ofMillis(500).toNanos();

	private static final long ELECTION_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long WARM_UP_NANOS = Duration.ofSeconds(10).toNanos();

	private static final long LIMIT_NANOS = Duration.ofSeconds(40).toNanos();

	private final List<SwitchScenario> scenarios = List
		.of(new SwitchScenario("usual", SwitchMeasurement::usual, (world) -> {
		}), new SwitchScenario("one-late-rank", SwitchMeasurement::late, (world) -> {
		}), new SwitchScenario("lost-decision-message", new FirstReleaseLost(), (world) -> {
		}), new SwitchScenario("coordinator-dies-after-arming", SwitchMeasurement::usual,
				(world) -> world.leader().dieBeforeCommit()),
				new SwitchScenario("coordinator-dies-after-decision", SwitchMeasurement::usual,
						(world) -> world.leader().dieAfterCommit()));

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		for (SwitchScenario scenario : this.scenarios) {
			measure(scenario, new Random(options.seed()), reporter);
		}
	}

	private static void measure(SwitchScenario scenario, RandomGenerator random, Reporter reporter) {
		SwitchWorld world = new SwitchWorld(
				WorldSettings.of(RANKS, AgentSettings.DEFAULT, CoordinatorSettings.DEFAULT, LOAD_NANOS),
				SwitchMeasurement::usual, () -> STEP_NANOS + random.nextLong(STEP_NANOS / 5));
		world.start();
		world.runUntil(WARM_UP_NANOS);
		world.link().usePolicy(scenario.faults());
		scenario.prepare().accept(world);
		world.resetCounters();
		world.requestSwitch();
		runUntilSwitched(world);
		report(scenario, world, reporter);
	}

	private static void runUntilSwitched(SwitchWorld world) {
		long end = world.queue().now() + LIMIT_NANOS;
		Consumer<SwitchWorld> replaceLeader = (dead) -> {
			dead.elect();
			dead.requestSwitch();
		};
		boolean electing = false;
		while (world.queue().now() < end && world.committedSwitches() == 0) {
			world.queue().runNext();
			if (!world.leader().isAlive() && !electing) {
				electing = true;
				world.queue().after(ELECTION_NANOS, () -> replaceLeader.accept(world));
			}
		}
		world.runUntil(world.queue().now() + CoordinatorSettings.DEFAULT.maxLeadNanos());
	}

	private static void report(SwitchScenario scenario, SwitchWorld world, Reporter reporter) {
		reporter.result("mapswitch-" + scenario.name(), Field.of("ranks", RANKS),
				Field.of("steps-delayed", world.delayedSteps()),
				Field.of("longest-wait-ms", world.longestWaitNanos() / 1_000_000.0),
				Field.of("messages", world.switchMessages()), Field.of("commits", world.audit().commits() - 1),
				Field.of("aborts", world.audit().aborts()), Field.of("violations", world.audit().violations().size()));
		if (scenario.name().equals("usual")) {
			reporter.atMost("steps-delayed-by-a-usual-switch", world.delayedSteps(), 0);
		}
		reporter.atLeast("committed-" + scenario.name(), world.committedSwitches(), 1);
		reporter.atMost("violations-" + scenario.name(), world.audit().violations().size(), 0);
	}

	private static long[] usual(int rank, Object message) {
		return new long[] { (rank == Link.LEDGER) ? LEDGER_NANOS : ONE_WAY_NANOS };
	}

	private static long[] late(int rank, Object message) {
		return (rank == LATE_RANK) ? new long[] { LATE_NANOS } : usual(rank, message);
	}

	/**
	 * Loses the first decision sent to one rank.
	 */
	private static final class FirstReleaseLost implements LinkPolicy {

		private boolean lost;

		@Override
		public long[] delays(int rank, Object message) {
			if (!this.lost && rank == LATE_RANK && message instanceof ReleaseSwitch) {
				this.lost = true;
				return new long[0];
			}
			return usual(rank, message);
		}

	}

}
