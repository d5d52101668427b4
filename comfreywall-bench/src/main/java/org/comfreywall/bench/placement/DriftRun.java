package org.comfreywall.bench.placement;

import java.util.Arrays;
import java.util.Random;

import org.comfreywall.group.placement.GroupShape;

/**
 * Generates the counts of each interval and the true speeds of the ranks for one
 * simulated load. The same seed gives the same load.
 */
final class DriftRun {

	/** The number of intervals per day; each takes five minutes. */
	static final int INTERVALS_PER_DAY = 288;

	private static final double TOKENS_PER_INTERVAL = 200_000;

	private static final double BASE_DEVIATION = 1;

	private static final double JITTER_DEVIATION = 0.06;

	private static final int SHIFT_INTERVALS = 120;

	private static final double SHIFTED_FRACTION = 0.25;

	private static final int SLOW_FROM_INTERVAL = 90;

	private static final int SLOW_UNTIL_INTERVAL = 210;

	private static final double SLOW_SPEED = 0.6;

	private static final int SLOW_RANK = 7;

	private final Random random;

	private final Drift drift;

	private final double[][] basePopularity;

	private final double[][] dailyPhases;

	private final double[] speeds;

	private int interval;

	DriftRun(long seed, Drift drift, GroupShape shape) {
		this.random = new Random(seed * 31 + drift.ordinal());
		this.drift = drift;
		this.basePopularity = new double[shape.layers()][shape.experts()];
		this.dailyPhases = new double[shape.layers()][shape.experts()];
		for (int layer = 0; layer < shape.layers(); layer++) {
			for (int expert = 0; expert < shape.experts(); expert++) {
				this.basePopularity[layer][expert] = drawBase();
				this.dailyPhases[layer][expert] = this.random.nextDouble();
			}
		}
		this.speeds = new double[shape.ranks()];
		Arrays.fill(this.speeds, 1);
	}

	double[][] nextCounts() {
		this.interval++;
		if (this.drift.shifts() && this.interval % SHIFT_INTERVALS == 0) {
			shift();
		}
		boolean slow = this.drift.slowRank() && this.interval >= SLOW_FROM_INTERVAL
				&& this.interval < SLOW_UNTIL_INTERVAL;
		this.speeds[SLOW_RANK] = slow ? SLOW_SPEED : 1;
		double[][] counts = new double[this.basePopularity.length][];
		for (int layer = 0; layer < counts.length; layer++) {
			counts[layer] = drawCounts(layer);
		}
		return counts;
	}

	double[] speeds() {
		return this.speeds.clone();
	}

	private double drawBase() {
		return Math.exp(BASE_DEVIATION * this.random.nextGaussian());
	}

	private void shift() {
		for (double[] layer : this.basePopularity) {
			for (int expert = 0; expert < layer.length; expert++) {
				if (this.random.nextDouble() < SHIFTED_FRACTION) {
					layer[expert] = drawBase();
				}
			}
		}
	}

	private double[] drawCounts(int layer) {
		double[] popularity = new double[this.basePopularity[layer].length];
		for (int expert = 0; expert < popularity.length; expert++) {
			double angle = 2 * Math.PI * ((double) this.interval / INTERVALS_PER_DAY + this.dailyPhases[layer][expert]);
			popularity[expert] = this.basePopularity[layer][expert]
					* Math.exp(this.drift.dailyAmplitude() * Math.sin(angle));
		}
		double sum = Arrays.stream(popularity).sum();
		return Arrays.stream(popularity).map((value) -> drawCount(TOKENS_PER_INTERVAL * value / sum)).toArray();
	}

	private double drawCount(double mean) {
		double jittered = mean * Math.exp(JITTER_DEVIATION * this.random.nextGaussian());
		return Math.max(0, Math.rint(jittered + Math.sqrt(jittered) * this.random.nextGaussian()));
	}

}
