package org.comfreywall.bench;

/**
 * A measurement that the command line selects by name.
 */
public interface Measurement {

	/**
	 * Runs the measurement and reports each result and target.
	 * @param options the options given on the command line
	 * @param reporter prints the results and targets
	 * @throws Exception if the measurement fails
	 */
	void run(BenchOptions options, Reporter reporter) throws Exception;

}
