package org.comfreywall.bench;

import java.util.Optional;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/**
 * Runs one measurement; exits with 0 if all targets are met, 1 if one is missed and 2 if
 * the command line is invalid.
 */
public final class Bench {

	private static final int TARGET_MISSED = 1;

	private static final int USAGE = 2;

	private Bench() {
	}

	/**
	 * Runs the measurement named on the command line.
	 * @param args the command line
	 * @throws Exception if the measurement fails
	 */
	public static void main(String[] args) throws Exception {
		System.exit(run(args));
	}

	private static int run(String[] args) throws Exception {
		BenchOptions options = new BenchOptions();
		JCommander commander = JCommander.newBuilder().programName("bin/bench").addObject(options).build();
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage() + "; see bin/bench --help");
			return USAGE;
		}
		MeasurementRegistry registry = MeasurementRegistry.create();
		if (options.help()) {
			commander.usage();
			System.out.println("Measurements: " + String.join(", ", registry.names()));
			return 0;
		}
		Optional<Measurement> measurement = Optional.ofNullable(options.name()).flatMap(registry::find);
		if (measurement.isEmpty()) {
			System.err
				.println("Measurement missing or unknown, expected one of: " + String.join(", ", registry.names()));
			return USAGE;
		}
		Reporter reporter = new Reporter(System.out, options.json());
		measurement.get().run(options, reporter);
		return (reporter.missed() > 0) ? TARGET_MISSED : 0;
	}

}
