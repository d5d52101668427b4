package org.comfreywall.bench.control;

import org.HdrHistogram.Histogram;

/**
 * The result of a {@link CommitLoad}.
 *
 * @param count the number of proposals, including failed ones
 * @param elapsedNanos the time in nanoseconds from the first proposal to the last answer
 * @param latency the time from proposal to answer in nanoseconds
 * @param failed the number of proposals answered with an error; after a timeout it is
 * unknown whether the proposal was committed
 */
record CommitLoadResult(long count, long elapsedNanos, Histogram latency, long failed) {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double NANOS_PER_MILLI = 1e6;

	double proposalsPerSecond() {
		return this.count * NANOS_PER_SECOND / this.elapsedNanos;
	}

	double nanosPerProposal() {
		return (double) this.elapsedNanos / this.count;
	}

	/**
	 * Returns a percentile of the latency in milliseconds, with two decimal places.
	 * @param percentile the percentile, from 0 to 100
	 * @return the formatted latency
	 */
	String millisAt(double percentile) {
		return String.format("%.2f", this.latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI);
	}

}
