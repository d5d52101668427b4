package org.comfreywall.bench.control;

import org.HdrHistogram.Histogram;

/**
 * The result of a {@link CommitLoad}.
 *
 * @param count the number of proposals
 * @param elapsedNanos the time from the first proposal to the last answer
 * @param latency the time from proposal to answer in nanoseconds
 * @param failed the number of proposals that were not committed
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

	String millisAt(double percentile) {
		return String.format("%.2f", this.latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI);
	}

}
