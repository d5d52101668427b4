package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Generates expert choices that follow Zipf's law: in each set a few experts get a large
 * share of the choices. A shift swaps the popularity of experts.
 */
final class ZipfTraffic {

	private static final double CHOICES = 100_000;

	private final double exponent;

	private final Random random;

	private final List<List<Integer>> ranking = new ArrayList<>();

	/**
	 * Creates a generator with a random popularity ranking for each set.
	 * @param sets the number of sets
	 * @param experts the number of experts of a set
	 * @param exponent the exponent of Zipf's law
	 * @param random the source of randomness
	 */
	ZipfTraffic(int sets, int experts, double exponent, Random random) {
		this.exponent = exponent;
		this.random = random;
		for (int set = 0; set < sets; set++) {
			List<Integer> order = new ArrayList<>();
			for (int expert = 0; expert < experts; expert++) {
				order.add(expert);
			}
			Collections.shuffle(order, random);
			this.ranking.add(order);
		}
	}

	/**
	 * Shuffles the ranks of randomly selected experts in the popularity ranking.
	 * @param share the share of the experts, from 0 to 1
	 */
	void shift(double share) {
		for (List<Integer> order : this.ranking) {
			List<Integer> places = new ArrayList<>();
			List<Integer> moved = new ArrayList<>();
			for (int place = 0; place < order.size(); place++) {
				if (this.random.nextDouble() < share) {
					places.add(place);
					moved.add(order.get(place));
				}
			}
			Collections.shuffle(moved, this.random);
			for (int i = 0; i < places.size(); i++) {
				order.set(places.get(i), moved.get(i));
			}
		}
	}

	/**
	 * Returns the choices of one pass, with the noise of few requests.
	 * @return the choices by set and expert
	 */
	double[][] traffic() {
		double[][] traffic = new double[this.ranking.size()][this.ranking.get(0).size()];
		for (int set = 0; set < traffic.length; set++) {
			List<Integer> order = this.ranking.get(set);
			for (int place = 0; place < order.size(); place++) {
				double noise = 0.85 + 0.3 * this.random.nextDouble();
				traffic[set][order.get(place)] = CHOICES * noise * Math.pow(place + 1, -this.exponent);
			}
		}
		return traffic;
	}

}
