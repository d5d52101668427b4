package org.comfreywall.bench.placement;

import java.util.Locale;

/**
 * Ways in which a group's load changes during a run.
 */
enum Drift {

	/** The popularity of every expert follows its own daily curve. */
	DAILY(0.6, false, false),
	/** Twice a day a quarter of the experts changes popularity at once. */
	SHIFT(0, true, false),
	/** Popularity stays as it is. */
	NOISE(0, false, false),
	/** One rank is slow for a part of the day. */
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

	String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
