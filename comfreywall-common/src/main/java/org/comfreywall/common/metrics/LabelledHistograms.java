package org.comfreywall.common.metrics;

import java.util.LinkedHashMap;
import java.util.Map;

import com.codahale.metrics.Histogram;
import org.comfreywall.common.util.Preconditions;

/**
 * Histograms of one quantity by label, such as a client account.
 * <p>
 * At most a fixed number of labels have a histogram of their own; when another label
 * comes, the one used least recently gives its place up, and its later values start a new
 * histogram.
 */
public final class LabelledHistograms {

	private final String name;

	private final String labelName;

	private final Map<String, Histogram> byLabel;

	private final Histogram all = new Histogram(new HdrReservoir());

	/**
	 * Creates an empty set of histograms.
	 * @param name the quantity's name with its unit as suffix, such as
	 * {@code first_token_us}
	 * @param labelName the label's name, such as {@code account}
	 * @param maxLabels the greatest number of labels kept, at least 1
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
	 * @param label the label
	 * @param value the value, zero or greater
	 */
	public synchronized void update(String label, long value) {
		this.all.update(value);
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
	 * Returns the histogram over all labels.
	 * @return the histogram
	 */
	public Histogram total() {
		return this.all;
	}

	/**
	 * Returns the histograms kept.
	 * @return a copy, by label
	 */
	public synchronized Map<String, Histogram> byLabel() {
		return new LinkedHashMap<>(this.byLabel);
	}

}
