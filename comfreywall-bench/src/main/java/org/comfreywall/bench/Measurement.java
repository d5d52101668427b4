package org.comfreywall.bench;

/**
 * One measurement of the project.
 */
public interface Measurement {

	/**
	 * Runs the measurement and reports each result and target.
	 * @param options the options given on the command line
	 * @param reporter receives the results and targets
	 * @throws Exception if the measurement cannot be carried out
	 */
	void run(BenchOptions options, Reporter reporter) throws Exception;

}
