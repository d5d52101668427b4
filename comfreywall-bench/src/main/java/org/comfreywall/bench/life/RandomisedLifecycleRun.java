package org.comfreywall.bench.life;

import java.time.Duration;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.comfreywall.group.life.GroupState;
import org.comfreywall.group.life.LifecycleSettings;

/**
 * Crashes and stalls the backend servers of a simulated group and loses their reports.
 * Checks that only crashed or stalled members are replaced and that the group runs again
 * after the faults end.
 */
public final class RandomisedLifecycleRun implements Measurement {

	/** The default number of ticks. */
	public static final long DEFAULT_TICKS = 200_000;

	private static final int RANKS = 5;

	private static final int SERVERS = 8;

	private static final int MAX_REPORTED_VIOLATIONS = 5;

	private static final int TICKS_PER_FAULT = 60;

	private static final long FAULTY_TICKS = 3000;

	private static final long FAULT_FREE_TICKS = 1500;

	private static final long MAX_DOWN_NANOS = Duration.ofSeconds(3).toNanos();

	private static final long MAX_STALL_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long MAX_REPORT_LOSS_NANOS = Duration.ofSeconds(4).toNanos();

	private static final long FAULTY_MESSAGE_DELAY_NANOS = Duration.ofMillis(150).toNanos();

	private static final LifecycleSettings SETTINGS = new LifecycleSettings(Duration.ofMillis(400).toNanos(),
			Duration.ofMillis(300).toNanos(), 2, Duration.ofMillis(300).toNanos(), Duration.ofSeconds(2).toNanos());

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		RandomisedLifecycleResult result = execute(options.seed(), options.steps(DEFAULT_TICKS));
		reporter.result("group-life-random", Field.of("ticks", result.ticks()), Field.of("steps", result.steps()),
				Field.of("deaths", result.deaths()), Field.of("stalls", result.stalls()),
				Field.of("silences", result.silences()), Field.of("replacements", result.replacements()));
		result.violations()
			.stream()
			.limit(MAX_REPORTED_VIOLATIONS)
			.forEach((text) -> reporter.result("violation", Field.of("text", text)));
		reporter.atMost("violations", result.violations().size(), 0);
		reporter.atMost("quiet-windows-in-which-the-group-did-not-run", result.stuckWindows(), 0);
	}

	static RandomisedLifecycleResult execute(long seed, long ticks) {
		RandomGenerator random = new Random(seed);
		GroupSimulation simulation = new GroupSimulation(RANKS, SERVERS, SETTINGS, random);
		int[] faults = new int[3];
		int stuckWindows = 0;
		long ticksRun = 0;
		while (ticksRun < ticks) {
			runFaultyWindow(simulation, random, faults);
			stuckWindows += runFaultFreeWindow(simulation);
			ticksRun += FAULTY_TICKS + FAULT_FREE_TICKS;
		}
		return new RandomisedLifecycleResult(ticksRun, simulation.step(), faults[0], faults[1], faults[2],
				simulation.replacements(), simulation.violations(), stuckWindows);
	}

	private static void runFaultyWindow(GroupSimulation simulation, RandomGenerator random, int[] faults) {
		simulation.maxMessageDelay(FAULTY_MESSAGE_DELAY_NANOS);
		for (int i = 0; i < FAULTY_TICKS; i++) {
			if (random.nextInt(TICKS_PER_FAULT) == 0) {
				int kind = random.nextInt(faults.length);
				faults[kind]++;
				inject(kind, simulation, random);
			}
			simulation.runTick();
		}
		simulation.maxMessageDelay(GroupSimulation.TICK_NANOS);
	}

	private static void inject(int kind, GroupSimulation simulation, RandomGenerator random) {
		SimulatedServer member = simulation.randomServer();
		switch (kind) {
			case 0 -> member.crash(simulation.now(), random.nextLong(MAX_DOWN_NANOS));
			case 1 -> member.stall(simulation.now(), random.nextLong(MAX_STALL_NANOS), simulation.step());
			default -> member.loseReports(simulation.now(), random.nextLong(MAX_REPORT_LOSS_NANOS));
		}
	}

	private static int runFaultFreeWindow(GroupSimulation simulation) {
		for (int i = 0; i < FAULT_FREE_TICKS - 100; i++) {
			simulation.runTick();
		}
		long stepBefore = simulation.step();
		for (int i = 0; i < 100; i++) {
			simulation.runTick();
		}
		return (simulation.state() == GroupState.RUNNING && simulation.step() > stepBefore) ? 0 : 1;
	}

}
