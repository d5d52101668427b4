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
	 * @param registry counters and gauges
	 * @param histograms histograms by label
	 * @return the text
	 */
	public static String write(MetricRegistry registry, List<LabelledHistograms> histograms) {
		Preconditions.notNull(registry, "registry");
		PrometheusWriter writer = new PrometheusWriter();
		registry.getCounters().forEach((name, counter) -> writer.single(name, "counter", counter.getCount()));
		registry.getGauges().forEach(writer::gauge);
		histograms.forEach(writer::histograms);
		return writer.text.toString();
	}

	private void gauge(String name, Gauge<?> gauge) {
		if (gauge.getValue() instanceof Number value) {
			single(name, "gauge", value);
		}
	}

	private void single(String name, String type, Number value) {
		String metric = metric(name);
		this.text.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
		this.text.append(metric).append(' ').append(value).append('\n');
	}

	private void histograms(LabelledHistograms histograms) {
		String metric = metric(histograms.name());
		this.text.append("# TYPE ").append(metric).append(" summary\n");
		summary(metric, "", histograms.total());
		for (Map.Entry<String, Histogram> entry : histograms.byLabel().entrySet()) {
			summary(metric, histograms.labelName() + "=\"" + escape(entry.getKey()) + "\"", entry.getValue());
		}
	}

	private void summary(String metric, String label, Histogram histogram) {
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

	private static String metric(String name) {
		return PREFIX + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
	}

	private static String escape(String value) {
		return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
	}

}
