package org.comfreywall.group.report;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * Draws a skew histogram with one line for each range of values.
 */
final class HistogramText {

	private static final int BAR_WIDTH = 40;

	/** Upper ends of the ranges, in thousandths; the last range is open. */
	private static final long[] ENDS = { 1050, 1100, 1200, 1300, 1500, 2000, 3000, Long.MAX_VALUE };

	private HistogramText() {
	}

	static String draw(Histogram histogram) {
		if (histogram.getTotalCount() == 0) {
			return "  no complete step yet\n";
		}
		long[] counts = counts(histogram);
		long greatest = 0;
		for (long count : counts) {
			greatest = Math.max(greatest, count);
		}
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < counts.length; i++) {
			int width = (int) ((counts[i] * BAR_WIDTH + greatest - 1) / greatest);
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
				histogram.getTotalCount(), histogram.getMean() / SkewMeter.SCALE, at(histogram, 50), at(histogram, 95),
				at(histogram, 99), histogram.getMaxValue() / (double) SkewMeter.SCALE);
	}

	private static double at(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / (double) SkewMeter.SCALE;
	}

	private static long[] counts(Histogram histogram) {
		long[] counts = new long[ENDS.length];
		histogram.recordedValues().forEach((value) -> {
			int range = 0;
			while (value.getValueIteratedTo() >= ENDS[range]) {
				range++;
			}
			counts[range] += value.getCountAtValueIteratedTo();
		});
		return counts;
	}

	private static String range(int index) {
		double start = (index == 0) ? 1 : ENDS[index - 1] / (double) SkewMeter.SCALE;
		if (ENDS[index] == Long.MAX_VALUE) {
			return String.format(Locale.ROOT, "%.2f-", start);
		}
		return String.format(Locale.ROOT, "%.2f-%.2f", start, ENDS[index] / (double) SkewMeter.SCALE);
	}

}
