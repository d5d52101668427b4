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
 * Runs a group through windows with and without faults and checks from outside that maps
 * never mix, decisions never change and the group goes on once messages flow.
 */
public final class RandomisedSwitchRun implements Measurement {

	/** The number of steps run by default. */
	public static final long DEFAULT_STEPS = 120_000;

	private static final int RANKS = 6;

	private static final int VIOLATIONS_SHOWN = 5;

	private static final long STEP_NANOS = Duration.ofMillis(4).toNanos();

	private static final long LOAD_NANOS = Duration.ofMillis(60).toNanos();

	private static final long STAGE_RETRY_NANOS = Duration.ofMillis(100).toNanos();

	private static final long FAULTY_NANOS = Duration.ofSeconds(10).toNanos();

	private static final long QUIET_NANOS = Duration.ofSeconds(6).toNanos();

	private static final AgentSettings AGENT = new AgentSettings(Duration.ofMillis(20).toNanos(),
			Duration.ofMillis(40).toNanos());

	private static final long[] LEAD_NANOS = { Duration.ofMillis(6).toNanos(), Duration.ofMillis(25).toNanos(),
			Duration.ofMillis(80).toNanos() };

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		RandomisedSwitchResult result = execute(options.seed(), options.steps(DEFAULT_STEPS));
		reporter.result("mapswitch-random", result.fields());
		result.violations()
			.stream()
			.limit(VIOLATIONS_SHOWN)
			.forEach((text) -> reporter.result("violation", Field.of("text", text)));
		reporter.atMost("violations", result.violations().size(), 0);
		reporter.atMost("invariant-breaches", result.invariantBreaches(), 0);
		reporter.atMost("quiet-windows-in-which-the-group-stuck", result.stuckWindows(), 0);
	}

	static RandomisedSwitchResult execute(long seed, long steps) {
		RandomGenerator random = new Random(seed);
		FaultyPolicy policy = new FaultyPolicy(random);
		SwitchWorld world = new SwitchWorld(settings(random), policy, () -> STEP_NANOS);
		FaultInjector faults = new FaultInjector(world, random);
		world.link().usePolicy((rank, message) -> {
			faults.sending(message);
			return policy.delays(rank, message);
		});
		world.computeTimes(() -> faults.computeNanos(STEP_NANOS));
		world.start();
		int stuck = 0;
		while (stuck == 0 && world.lockStep().completed() < steps) {
			faultyWindow(world, policy, faults);
			stuck += quietWindow(world);
		}
		return RandomisedSwitchResult.of(world, faults, stuck);
	}

	private static WorldSettings settings(RandomGenerator random) {
		return new WorldSettings(RANKS, AGENT, () -> coordinator(random), AGENT.retryNanos() / 2, LOAD_NANOS,
				(rank) -> random.nextInt(4), (rank) -> random.nextBoolean(), new AtomicLong()::incrementAndGet);
	}

	private static CoordinatorSettings coordinator(RandomGenerator random) {
		return new CoordinatorSettings(Duration.ofMillis(20).toNanos(), STAGE_RETRY_NANOS,
				LEAD_NANOS[random.nextInt(LEAD_NANOS.length)], Duration.ofSeconds(1).toNanos(), STEP_NANOS, 10);
	}

	private static void faultyWindow(SwitchWorld world, FaultyPolicy policy, FaultInjector faults) {
		policy.startFaults(RANKS);
		faults.start();
		world.runUntil(world.queue().now() + FAULTY_NANOS);
		faults.stop();
		policy.stopFaults();
	}

	private static int quietWindow(SwitchWorld world) {
		long end = world.queue().now() + QUIET_NANOS;
		world.runUntil(end - QUIET_NANOS / 2);
		long step = world.lockStep().completed();
		long committed = world.committedSwitches();
		world.requestSwitch();
		world.runUntil(end);
		boolean runs = world.lockStep().completed() > step;
		boolean switches = world.committedSwitches() > committed;
		return (runs && switches) ? 0 : 1;
	}

}
