package org.comfreywall.group.placement;

import java.util.Random;

/**
 * Generates random expert popularity for tests.
 */
final class RandomPopularity {

	private RandomPopularity() {
	}

	static double[][] create(Random random, GroupShape shape) {
		double[][] popularity = new double[shape.layers()][shape.experts()];
		for (double[] layer : popularity) {
			for (int expert = 0; expert < layer.length; expert++) {
				layer[expert] = 1000 * Math.exp(random.nextGaussian());
			}
		}
		return popularity;
	}

	static void drift(Random random, double[][] popularity) {
		for (double[] layer : popularity) {
			for (int expert = 0; expert < layer.length; expert++) {
				layer[expert] *= Math.exp(0.3 * random.nextGaussian());
			}
		}
	}

}
