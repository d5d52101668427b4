package org.comfreywall.bench.placement;

import java.util.Locale;

/**
 * The ways in which the load of a group changes during a run.
 */
enum Drift {

	/** The popularity of each expert follows a daily sine curve with its own phase. */
	DAILY(0.6, false, false),
	/** The popularity of a quarter of the experts changes abruptly twice a day. */
	SHIFT(0, true, false),
	/** Popularity is constant; only the counts are noisy. */
	NOISE(0, false, false),
	/** Popularity is constant, and one rank is slow for a part of the day. */
	SLOW_RANK(0, false, true);

	private final double dailyAmplitude;

	private final boolean shifts;

	private final boolean slowRank;

	Drift(double dailyAmplitude, boolean shifts, boolean slowRank) {
		this.dailyAmplitude = dailyAmplitude;
		this.shifts = shifts;
		this.slowRank = slowRank;
	}

	double dailyAmplitude() {
		return this.dailyAmplitude;
	}

	boolean shifts() {
		return this.shifts;
	}

	boolean slowRank() {
		return this.slowRank;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
