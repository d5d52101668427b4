package org.comfreywall.common.metrics;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import org.comfreywall.common.util.Preconditions;

/**
 * Writes metrics in the Prometheus text format.
 */
public final class PrometheusWriter {

	private static final String PREFIX = "comfreywall_";

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99 };

	private final StringBuilder text = new StringBuilder();

	private PrometheusWriter() {
	}

	/**
	 * Writes metrics.
	 * @param registry the registry with counters and gauges
	 * @param histograms the labelled histograms, written as summaries
	 * @return the metrics in the text format
	 */
	public static String write(MetricRegistry registry, List<LabelledHistograms> histograms) {
		Preconditions.notNull(registry, "registry");
		PrometheusWriter writer = new PrometheusWriter();
		registry.getCounters().forEach((name, counter) -> writer.writeSample(name, "counter", counter.getCount()));
		registry.getGauges().forEach(writer::writeGauge);
		histograms.forEach(writer::writeHistograms);
		return writer.text.toString();
	}

	private void writeGauge(String name, Gauge<?> gauge) {
		if (gauge.getValue() instanceof Number value) {
			writeSample(name, "gauge", value);
		}
	}

	private void writeSample(String name, String type, Number value) {
		String metric = metricName(name);
		this.text.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
		this.text.append(metric).append(' ').append(value).append('\n');
	}

	private void writeHistograms(LabelledHistograms histograms) {
		String metric = metricName(histograms.name());
		this.text.append("# TYPE ").append(metric).append(" summary\n");
		writeSummary(metric, "", histograms.total());
		for (Map.Entry<String, Histogram> entry : histograms.byLabel().entrySet()) {
			writeSummary(metric, histograms.labelName() + "=\"" + escape(entry.getKey()) + "\"", entry.getValue());
		}
	}

	private void writeSummary(String metric, String label, Histogram histogram) {
		Snapshot snapshot = histogram.getSnapshot();
		String separator = label.isEmpty() ? "" : ",";
		for (double quantile : QUANTILES) {
			this.text.append(metric)
				.append('{')
				.append(label)
				.append(separator)
				.append("quantile=\"")
				.append(quantile)
				.append("\"} ")
				.append((long) snapshot.getValue(quantile))
				.append('\n');
		}
		String braces = label.isEmpty() ? "" : "{" + label + "}";
		this.text.append(metric).append("_count").append(braces).append(' ').append(histogram.getCount()).append('\n');
	}

	private static String metricName(String name) {
		return PREFIX + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
	}

	private static String escape(String value) {
		return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
	}

}
