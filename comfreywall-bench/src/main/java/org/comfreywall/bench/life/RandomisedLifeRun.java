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
 * Lets servers die, stall and fall silent and checks from outside that only those that
 * died or stalled are replaced and that the group runs once faults end.
 */
public final class RandomisedLifeRun implements Measurement {

	/** The number of ticks run by default. */
	public static final long DEFAULT_TICKS = 200_000;

	private static final int RANKS = 5;

	private static final int SERVERS = 8;

	private static final int VIOLATIONS_SHOWN = 5;

	private static final int TICKS_PER_FAULT = 60;

	private static final long FAULTY_TICKS = 3000;

	private static final long QUIET_TICKS = 1500;

	private static final long LONGEST_DEATH_NANOS = Duration.ofSeconds(3).toNanos();

	private static final long LONGEST_STALL_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long LONGEST_SILENCE_NANOS = Duration.ofSeconds(4).toNanos();

	private static final long SLOW_MESSAGE_NANOS = Duration.ofMillis(150).toNanos();

	private static final LifecycleSettings SETTINGS = new LifecycleSettings(Duration.ofMillis(400).toNanos(),
			Duration.ofMillis(300).toNanos(), 2, Duration.ofMillis(300).toNanos(), Duration.ofSeconds(2).toNanos());

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		RandomisedLifeResult result = execute(options.seed(), options.steps(DEFAULT_TICKS));
		reporter.result("group-life-random", Field.of("ticks", result.ticks()), Field.of("steps", result.steps()),
				Field.of("deaths", result.deaths()), Field.of("stalls", result.stalls()),
				Field.of("silences", result.silences()), Field.of("replacements", result.replacements()));
		result.violations()
			.stream()
			.limit(VIOLATIONS_SHOWN)
			.forEach((text) -> reporter.result("violation", Field.of("text", text)));
		reporter.atMost("violations", result.violations().size(), 0);
		reporter.atMost("quiet-windows-in-which-the-group-did-not-run", result.stuckWindows(), 0);
	}

	static RandomisedLifeResult execute(long seed, long ticks) {
		RandomGenerator random = new Random(seed);
		LifeWorld world = new LifeWorld(RANKS, SERVERS, SETTINGS, random);
		int[] faults = new int[3];
		int stuck = 0;
		long done = 0;
		while (done < ticks) {
			runFaultyWindow(world, random, faults);
			stuck += runQuietWindow(world);
			done += FAULTY_TICKS + QUIET_TICKS;
		}
		return new RandomisedLifeResult(done, world.step(), faults[0], faults[1], faults[2], world.replacements(),
				world.violations(), stuck);
	}

	private static void runFaultyWindow(LifeWorld world, RandomGenerator random, int[] faults) {
		world.slowestMessage(SLOW_MESSAGE_NANOS);
		for (int i = 0; i < FAULTY_TICKS; i++) {
			if (random.nextInt(TICKS_PER_FAULT) == 0) {
				int kind = random.nextInt(faults.length);
				faults[kind]++;
				inject(kind, world, random);
			}
			world.runTick();
		}
		world.slowestMessage(LifeWorld.TICK_NANOS);
	}

	private static void inject(int kind, LifeWorld world, RandomGenerator random) {
		FakeMember member = world.anyMember();
		switch (kind) {
			case 0 -> member.die(world.now(), random.nextLong(LONGEST_DEATH_NANOS));
			case 1 -> member.stall(world.now(), random.nextLong(LONGEST_STALL_NANOS), world.step());
			default -> member.fallSilent(world.now(), random.nextLong(LONGEST_SILENCE_NANOS));
		}
	}

	private static int runQuietWindow(LifeWorld world) {
		for (int i = 0; i < QUIET_TICKS - 100; i++) {
			world.runTick();
		}
		long before = world.step();
		for (int i = 0; i < 100; i++) {
			world.runTick();
		}
		return (world.state() == GroupState.RUNNING && world.step() > before) ? 0 : 1;
	}

}
