package org.comfreywall.common.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Records all values since the histogram's creation with a precision of two significant
 * digits.
 */
final class HdrReservoir implements Reservoir {

	/** One hour in microseconds; greater values are recorded as this value. */
	private static final long MAX_VALUE = 3_600_000_000L;

	private static final int SIGNIFICANT_DIGITS = 2;

	private final Histogram values = new ConcurrentHistogram(1, MAX_VALUE, SIGNIFICANT_DIGITS);

	@Override
	public int size() {
		return (int) Math.min(Integer.MAX_VALUE, this.values.getTotalCount());
	}

	@Override
	public void update(long value) {
		this.values.recordValue(Math.max(0, Math.min(MAX_VALUE, value)));
	}

	@Override
	public Snapshot getSnapshot() {
		return new HdrSnapshot(this.values.copy());
	}

}
