package org.comfreywall.bench.config;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationDiff;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.config.toml.ConfigurationWriter;
import org.comfreywall.common.decision.Field;

/**
 * Checks writing, reading and comparing of random configurations and measures the time of
 * each at the design size.
 */
public final class ConfigurationMeasurement implements Measurement {

	private static final long DEFAULT_STEPS = 2_000;

	private static final int WARM_UP_ROUNDS = 10;

	private static final int ROUNDS = 15;

	private static final double NANOS_PER_MILLISECOND = 1e6;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		ConfigurationRun run = new ConfigurationRun(options.seed());
		long steps = options.steps(DEFAULT_STEPS);
		for (long step = 0; step < steps; step++) {
			run.step();
		}
		reporter.result("configuration-random", Field.of("seed", options.seed()), Field.of("steps", steps),
				Field.of("violations", run.violations()));
		reporter.atMost("configuration-violations", run.violations(), 0);
		measure(new RandomConfigurations(new Random(options.seed())), reporter);
	}

	private static void measure(RandomConfigurations configurations, Reporter reporter) {
		Configuration before = configurations.generate(ConfigurationSize.LARGE);
		Configuration after = configurations.generate(ConfigurationSize.LARGE);
		String text = ConfigurationWriter.write(before);
		double write = medianNanos(() -> ConfigurationWriter.write(before));
		double read = medianNanos(() -> ConfigurationReader.parse("large.toml", text));
		double diff = medianNanos(() -> ConfigurationDiff.between(before, after));
		reporter.result("configuration-large", Field.of("accounts", ConfigurationSize.LARGE.accounts()),
				Field.of("groups", ConfigurationSize.LARGE.groups()),
				Field.of("size-bytes", text.getBytes(StandardCharsets.UTF_8).length),
				Field.of("write-ms", formatMillis(write)), Field.of("read-ms", formatMillis(read)),
				Field.of("diff-ms", formatMillis(diff)));
	}

	private static String formatMillis(double nanos) {
		return String.format("%.1f", nanos / NANOS_PER_MILLISECOND);
	}

	private static double medianNanos(Runnable work) {
		long[] nanos = new long[ROUNDS];
		for (int i = -WARM_UP_ROUNDS; i < ROUNDS; i++) {
			long start = System.nanoTime();
			work.run();
			if (i >= 0) {
				nanos[i] = System.nanoTime() - start;
			}
		}
		Arrays.sort(nanos);
		return nanos[ROUNDS / 2];
	}

}
