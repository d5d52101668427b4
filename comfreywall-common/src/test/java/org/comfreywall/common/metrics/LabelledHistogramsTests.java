package org.comfreywall.common.metrics;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LabelledHistograms}.
 */
class LabelledHistogramsTests {

	private final LabelledHistograms histograms = new LabelledHistograms("latency_us", "account", 2);

	@Test
	void evictsTheLeastRecentlyUsedLabel() {
		this.histograms.update("a", 1);
		this.histograms.update("b", 2);
		this.histograms.update("a", 3);
		this.histograms.update("c", 4);
		assertThat(this.histograms.byLabel()).containsOnlyKeys("a", "c");
		assertThat(this.histograms.total().getCount()).isEqualTo(4);
	}

	@Test
	void isWrittenWithQuantilesAndEscapedLabels() {
		this.histograms.update("a\"b", 10);
		String text = PrometheusWriter.write(new MetricRegistry(), List.of(this.histograms));
		assertThat(text).contains("comfreywall_latency_us{account=\"a\\\"b\",quantile=\"0.95\"} 10\n")
			.contains("comfreywall_latency_us_count{account=\"a\\\"b\"} 1\n");
	}

}
