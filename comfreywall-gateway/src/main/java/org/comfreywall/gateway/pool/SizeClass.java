package org.comfreywall.gateway.pool;

import java.util.Locale;

/**
 * The place of a prompt among the last requests of its service, for metrics.
 */
public enum SizeClass {

	/** The shortest tenth. */
	SHORT,

	/** All others. */
	MIDDLE,

	/** The longest tenth. */
	LONG;

	private static final double TENTH = 0.1;

	static SizeClass of(double quantile) {
		if (quantile < TENTH) {
			return SHORT;
		}
		return (quantile >= 1 - TENTH) ? LONG : MIDDLE;
	}

	/**
	 * Returns the value of the label in metrics.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
