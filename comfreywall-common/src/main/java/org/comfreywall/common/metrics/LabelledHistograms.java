package org.comfreywall.common.metrics;

import java.util.LinkedHashMap;
import java.util.Map;

import com.codahale.metrics.Histogram;
import org.comfreywall.common.util.Preconditions;

/**
 * Histograms of one quantity, one per value of a label, such as the client account, and
 * one over all values.
 * <p>
 * The number of label values is bounded: a new one evicts the least recently used, whose
 * histogram is discarded.
 */
public final class LabelledHistograms {

	private final String name;

	private final String labelName;

	private final Map<String, Histogram> byLabel;

	private final Histogram total = new Histogram(new HdrReservoir());

	/**
	 * Creates histograms without values.
	 * @param name the quantity's name with its unit as suffix, such as
	 * {@code first_token_us}
	 * @param labelName the label's name, such as {@code account}
	 * @param maxLabels the maximum number of label values, at least 1
	 */
	public LabelledHistograms(String name, String labelName, int maxLabels) {
		this.name = Preconditions.notBlank(name, "name");
		this.labelName = Preconditions.notBlank(labelName, "labelName");
		Preconditions.check(maxLabels >= 1, "maxLabels must be at least 1: %d", maxLabels);
		this.byLabel = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Histogram> eldest) {
				return size() > maxLabels;
			}

		};
	}

	/**
	 * Records a value.
	 * @param label the label's value
	 * @param value the value to record, zero or greater
	 */
	public synchronized void update(String label, long value) {
		this.total.update(value);
		this.byLabel.computeIfAbsent(label, (unused) -> new Histogram(new HdrReservoir())).update(value);
	}

	/**
	 * Returns the quantity's name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the label's name.
	 * @return the name
	 */
	public String labelName() {
		return this.labelName;
	}

	/**
	 * Returns the histogram over all label values, including evicted ones.
	 * @return the histogram
	 */
	public Histogram total() {
		return this.total;
	}

	/**
	 * Returns the histograms of the label values that were not evicted.
	 * @return a copy, by label value
	 */
	public synchronized Map<String, Histogram> byLabel() {
		return new LinkedHashMap<>(this.byLabel);
	}

}
