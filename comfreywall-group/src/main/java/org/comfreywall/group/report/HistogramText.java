package org.comfreywall.group.report;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * Formats a skew histogram as text, with one bar per range of values.
 */
final class HistogramText {

	private static final int BAR_WIDTH = 40;

	/**
	 * Exclusive upper bounds of the ranges, in thousandths; the last range is unbounded.
	 */
	private static final long[] UPPER_BOUNDS = { 1050, 1100, 1200, 1300, 1500, 2000, 3000, Long.MAX_VALUE };

	private HistogramText() {
	}

	static String draw(Histogram histogram) {
		if (histogram.getTotalCount() == 0) {
			return "  no complete step yet\n";
		}
		long[] counts = counts(histogram);
		long max = 0;
		for (long count : counts) {
			max = Math.max(max, count);
		}
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < counts.length; i++) {
			int width = (int) ((counts[i] * BAR_WIDTH + max - 1) / max);
			text.append(String.format(Locale.ROOT, "  %-11s %9d %s", range(i), counts[i], "#".repeat(width))
				.stripTrailing()).append('\n');
		}
		return text.toString();
	}

	static String summary(Histogram histogram) {
		if (histogram.getTotalCount() == 0) {
			return "steps=0";
		}
		return String.format(Locale.ROOT, "steps=%d mean=%.3f p50=%.3f p95=%.3f p99=%.3f max=%.3f",
				histogram.getTotalCount(), histogram.getMean() / SkewMeter.SCALE, valueAt(histogram, 50),
				valueAt(histogram, 95), valueAt(histogram, 99), histogram.getMaxValue() / (double) SkewMeter.SCALE);
	}

	private static double valueAt(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / (double) SkewMeter.SCALE;
	}

	private static long[] counts(Histogram histogram) {
		long[] counts = new long[UPPER_BOUNDS.length];
		histogram.recordedValues().forEach((value) -> {
			int range = 0;
			while (value.getValueIteratedTo() >= UPPER_BOUNDS[range]) {
				range++;
			}
			counts[range] += value.getCountAtValueIteratedTo();
		});
		return counts;
	}

	private static String range(int index) {
		double start = (index == 0) ? 1 : UPPER_BOUNDS[index - 1] / (double) SkewMeter.SCALE;
		if (UPPER_BOUNDS[index] == Long.MAX_VALUE) {
			return String.format(Locale.ROOT, "%.2f-", start);
		}
		return String.format(Locale.ROOT, "%.2f-%.2f", start, UPPER_BOUNDS[index] / (double) SkewMeter.SCALE);
	}

}
