package org.comfreywall.common.metrics;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.stream.StreamSupport;

import com.codahale.metrics.Snapshot;
import org.HdrHistogram.Histogram;

/**
 * An immutable copy of the values of an {@link HdrReservoir}.
 */
final class HdrSnapshot extends Snapshot {

	private static final double PERCENT = 100.0;

	private final Histogram values;

	HdrSnapshot(Histogram values) {
		this.values = values;
	}

	@Override
	public double getValue(double quantile) {
		return this.values.getValueAtPercentile(quantile * PERCENT);
	}

	@Override
	public long[] getValues() {
		return StreamSupport.stream(this.values.recordedValues().spliterator(), false)
			.mapToLong((value) -> value.getValueIteratedTo())
			.toArray();
	}

	@Override
	public int size() {
		return (int) Math.min(Integer.MAX_VALUE, this.values.getTotalCount());
	}

	@Override
	public long getMax() {
		return this.values.getMaxValue();
	}

	@Override
	public double getMean() {
		return this.values.getMean();
	}

	@Override
	public long getMin() {
		return this.values.getMinValue();
	}

	@Override
	public double getStdDev() {
		return this.values.getStdDeviation();
	}

	@Override
	public void dump(OutputStream output) {
		this.values.outputPercentileDistribution(new PrintStream(output), 1.0);
	}

}
