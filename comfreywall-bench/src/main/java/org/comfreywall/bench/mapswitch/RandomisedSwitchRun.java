package org.comfreywall.bench.mapswitch;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.comfreywall.group.mapswitch.AgentSettings;
import org.comfreywall.group.mapswitch.CoordinatorSettings;

/**
 * Alternates time windows with and without random faults and checks that no two ranks run
 * a step under different maps, that no decision changes, and that the group completes
 * steps and switches in each window without faults. The checks do not rely on the state
 * of coordinators and agents.
 */
public final class RandomisedSwitchRun implements Measurement {

	/** The number of steps if the options set none. */
	public static final long DEFAULT_STEPS = 120_000;

	private static final int RANKS = 6;

	private static final int MAX_VIOLATIONS_PRINTED = 5;

	private static final long STEP_NANOS = Duration.ofMillis(4).toNanos();

	private static final long LOAD_NANOS = Duration.ofMillis(60).toNanos();

	private static final long STAGE_RETRY_NANOS = Duration.ofMillis(100).toNanos();

	private static final long FAULTY_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

	private static final long QUIET_WINDOW_NANOS = Duration.ofSeconds(6).toNanos();

	private static final AgentSettings AGENT_SETTINGS = new AgentSettings(Duration.ofMillis(20).toNanos(),
			Duration.ofMillis(40).toNanos());

	private static final long[] MIN_LEAD_NANOS = { Duration.ofMillis(6).toNanos(), Duration.ofMillis(25).toNanos(),
			Duration.ofMillis(80).toNanos() };

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		RandomisedSwitchResult result = execute(options.seed(), options.steps(DEFAULT_STEPS));
		reporter.result("mapswitch-random", result.fields());
		result.violations()
			.stream()
			.limit(MAX_VIOLATIONS_PRINTED)
			.forEach((text) -> reporter.result("violation", Field.of("text", text)));
		reporter.atMost("violations", result.violations().size(), 0);
		reporter.atMost("invariant-breaches", result.invariantBreaches(), 0);
		reporter.atMost("quiet-windows-in-which-the-group-stuck", result.stuckWindows(), 0);
	}

	static RandomisedSwitchResult execute(long seed, long steps) {
		RandomGenerator random = new Random(seed);
		FaultyPolicy policy = new FaultyPolicy(random);
		SwitchSimulation simulation = new SwitchSimulation(simulationSettings(random), policy, () -> STEP_NANOS);
		FaultInjector faults = new FaultInjector(simulation, random);
		simulation.link().setPolicy((rank, message) -> {
			faults.onSend(message);
			return policy.deliveryDelays(rank, message);
		});
		simulation.setComputeTime(() -> faults.computeNanos(STEP_NANOS));
		simulation.start();
		int stuckWindows = 0;
		while (stuckWindows == 0 && simulation.stepBarrier().completedStep() < steps) {
			runFaultyWindow(simulation, policy, faults);
			stuckWindows += runQuietWindow(simulation);
		}
		return RandomisedSwitchResult.of(simulation, faults, stuckWindows);
	}

	private static SimulationSettings simulationSettings(RandomGenerator random) {
		return new SimulationSettings(RANKS, AGENT_SETTINGS, () -> coordinatorSettings(random),
				AGENT_SETTINGS.retryNanos() / 2, LOAD_NANOS, (rank) -> random.nextInt(4),
				(rank) -> random.nextBoolean(), new AtomicLong()::incrementAndGet);
	}

	private static CoordinatorSettings coordinatorSettings(RandomGenerator random) {
		return new CoordinatorSettings(Duration.ofMillis(20).toNanos(), STAGE_RETRY_NANOS,
				MIN_LEAD_NANOS[random.nextInt(MIN_LEAD_NANOS.length)], Duration.ofSeconds(1).toNanos(), STEP_NANOS, 10);
	}

	private static void runFaultyWindow(SwitchSimulation simulation, FaultyPolicy policy, FaultInjector faults) {
		policy.startFaults(RANKS);
		faults.start();
		simulation.runUntil(simulation.queue().now() + FAULTY_WINDOW_NANOS);
		faults.stop();
		policy.stopFaults();
	}

	private static int runQuietWindow(SwitchSimulation simulation) {
		long end = simulation.queue().now() + QUIET_WINDOW_NANOS;
		simulation.runUntil(end - QUIET_WINDOW_NANOS / 2);
		long step = simulation.stepBarrier().completedStep();
		long committed = simulation.committedSwitches();
		simulation.requestSwitch();
		simulation.runUntil(end);
		boolean completesSteps = simulation.stepBarrier().completedStep() > step;
		boolean commitsSwitch = simulation.committedSwitches() > committed;
		return (completesSteps && commitsSwitch) ? 0 : 1;
	}

}
