package org.comfreywall.bench;

import com.beust.jcommander.Parameter;

/**
 * Command-line options shared by all measurements.
 */
public final class BenchOptions {

	@Parameter(description = "NAME", required = false)
	private String name;

	@Parameter(names = "--seed", description = "Seed of the random numbers")
	private long seed = 1;

	@Parameter(names = "--steps", description = "Number of steps of a randomised run; 0 uses the measurement's default")
	private long steps;

	@Parameter(names = "--json", description = "Print one JSON object per line")
	private boolean json;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	/**
	 * Returns the seed of the random numbers.
	 * @return the seed
	 */
	public long seed() {
		return this.seed;
	}

	/**
	 * Returns the requested number of steps, or the default if none was requested.
	 * @param defaultSteps the default of the measurement
	 * @return the number of steps
	 */
	public long steps(long defaultSteps) {
		return (this.steps > 0) ? this.steps : defaultSteps;
	}

	String name() {
		return this.name;
	}

	boolean json() {
		return this.json;
	}

	boolean help() {
		return this.help;
	}

}
