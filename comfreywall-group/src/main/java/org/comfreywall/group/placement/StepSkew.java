package org.comfreywall.group.placement;

import java.util.Arrays;

/**
 * Computes the step-time skew of a group.
 * <p>
 * All ranks synchronise at every layer with experts. The skew of a step is the sum over
 * layers of the slowest rank's time, divided by the sum over layers of the rank time
 * under perfect balance.
 */
public final class StepSkew {

	private static final int BISECTIONS = 50;

	private static final double ROUNDING_TOLERANCE = 1e-9;

	private StepSkew() {
	}

	/**
	 * Computes the skew of a placement.
	 * @param shape the group's shape
	 * @param placement the placement
	 * @param popularity the traffic of each expert, for each layer
	 * @param speeds the speed of each rank, 1 for a healthy one
	 * @return the skew, at least 1; 1 if there is no traffic
	 */
	public static double of(GroupShape shape, Placement placement, double[][] popularity, double[] speeds) {
		double slowest = 0;
		double mean = 0;
		for (int layer = 0; layer < shape.layers(); layer++) {
			double[] times = placement.rankTimes(shape, layer, popularity[layer], speeds);
			slowest += Arrays.stream(times).max().orElse(0);
			mean += balancedTime(popularity[layer], speeds);
		}
		return (mean > 0) ? slowest / mean : 1;
	}

	/**
	 * Computes a lower bound of the skew of any placement in the group's slots.
	 * <p>
	 * If no rank time of a layer exceeds {@code t}, an expert of traffic {@code p} needs
	 * at least {@code p / (t * speed)} copies, rounded up, where {@code speed} is that of
	 * the fastest rank. The bound of a layer is the smallest {@code t} for which all
	 * copies fit into the slots, found by bisection.
	 * @param shape the group's shape
	 * @param popularity the traffic of each expert, for each layer
	 * @param speeds the speed of each rank, 1 for a healthy one
	 * @return the bound, at least 1
	 */
	public static double lowerBound(GroupShape shape, double[][] popularity, double[] speeds) {
		double slowest = 0;
		double mean = 0;
		for (double[] layer : popularity) {
			double balanced = balancedTime(layer, speeds);
			mean += balanced;
			slowest += minimumTime(shape, layer, balanced, Arrays.stream(speeds).max().orElse(1));
		}
		return (mean > 0) ? slowest / mean : 1;
	}

	// Returns the rank time of a perfectly balanced layer.
	static double balancedTime(double[] popularity, double[] speeds) {
		return Arrays.stream(popularity).sum() / Arrays.stream(speeds).sum();
	}

	private static double minimumTime(GroupShape shape, double[] popularity, double balanced, double speed) {
		if (balanced == 0 || copiesFit(shape, popularity, balanced * speed)) {
			return balanced;
		}
		double low = balanced;
		double high = Math.max(balanced, Arrays.stream(popularity).max().orElse(0) / speed);
		for (int round = 0; round < BISECTIONS; round++) {
			double middle = (low + high) / 2;
			if (copiesFit(shape, popularity, middle * speed)) {
				high = middle;
			}
			else {
				low = middle;
			}
		}
		return low;
	}

	private static boolean copiesFit(GroupShape shape, double[] popularity, double largestCopy) {
		long copies = 0;
		for (double load : popularity) {
			copies += Math.max(1, (long) Math.ceil(load / largestCopy - ROUNDING_TOLERANCE));
		}
		return copies <= shape.totalSlots();
	}

}
