package org.comfreywall.entry.retry;

import java.util.OptionalLong;

/**
 * Histogram of latencies with logarithmic buckets. All counts are halved whenever their
 * total reaches {@value #HALVING_COUNT}, so that recent latencies dominate.
 */
final class LatencyHistogram {

	private static final int BUCKETS_PER_OCTAVE = 8;

	// The first bucket starts at 2^10 ns, about 1 us.
	private static final int MIN_EXPONENT = 10;

	private static final int OCTAVES = 32;

	private static final int HALVING_COUNT = 4096;

	private static final int MIN_SAMPLES = 100;

	private final long[] counts = new long[BUCKETS_PER_OCTAVE * OCTAVES];

	private long total;

	void add(long nanos) {
		this.counts[bucket(nanos)]++;
		this.total++;
		if (this.total >= HALVING_COUNT) {
			halve();
		}
	}

	/**
	 * Returns the upper bound of the bucket that contains a quantile, which is at most an
	 * eighth of an octave (about 9 %) above the exact value.
	 * @param quantile the quantile, between 0 and 1
	 * @return the latency in nanoseconds, or empty while there are fewer than
	 * {@value #MIN_SAMPLES} samples
	 */
	OptionalLong quantile(double quantile) {
		if (this.total < MIN_SAMPLES) {
			return OptionalLong.empty();
		}
		long cumulative = 0;
		for (int i = 0; i < this.counts.length; i++) {
			cumulative += this.counts[i];
			if (cumulative >= quantile * this.total) {
				return OptionalLong.of(upperBound(i));
			}
		}
		return OptionalLong.of(upperBound(this.counts.length - 1));
	}

	private void halve() {
		this.total = 0;
		for (int i = 0; i < this.counts.length; i++) {
			this.counts[i] /= 2;
			this.total += this.counts[i];
		}
	}

	private static int bucket(long nanos) {
		double octave = Math.log(Math.max(1, nanos)) / Math.log(2) - MIN_EXPONENT;
		int index = (int) Math.floor(octave * BUCKETS_PER_OCTAVE);
		return Math.max(0, Math.min(index, BUCKETS_PER_OCTAVE * OCTAVES - 1));
	}

	private static long upperBound(int bucket) {
		return (long) Math.pow(2, MIN_EXPONENT + (bucket + 1.0) / BUCKETS_PER_OCTAVE);
	}

}
