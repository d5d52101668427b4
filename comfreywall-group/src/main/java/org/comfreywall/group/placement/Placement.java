package org.comfreywall.group.placement;

import java.util.Arrays;

import org.comfreywall.common.util.Preconditions;

/**
 * The expert held by each slot of every layer, and the share of the expert's traffic
 * routed to that copy.
 * <p>
 * The position of a slot is the rank times {@link GroupShape#stride()} plus the slot's
 * index on the rank.
 */
public final class Placement {

	/** Marks a slot without an expert. */
	public static final int EMPTY = -1;

	private final int[][] experts;

	private final double[][] shares;

	Placement(int[][] experts, double[][] shares) {
		this.experts = experts;
		this.shares = shares;
	}

	/**
	 * Creates a placement in which no slot holds an expert.
	 * @param shape the group's shape
	 * @return the placement
	 */
	public static Placement empty(GroupShape shape) {
		int positions = shape.ranks() * shape.stride();
		int[][] experts = new int[shape.layers()][positions];
		for (int[] layer : experts) {
			Arrays.fill(layer, EMPTY);
		}
		return new Placement(experts, new double[shape.layers()][positions]);
	}

	/**
	 * Creates a placement from its slots.
	 * @param experts for each layer, the expert of each position or {@link #EMPTY}
	 * @param shares for each layer, the share of its expert's traffic that each position
	 * receives, from 0 to 1
	 * @return the placement
	 */
	public static Placement of(int[][] experts, double[][] shares) {
		Preconditions.check(experts.length == shares.length, "shares must have %d layers: %d", experts.length,
				shares.length);
		return new Placement(Arrays.stream(experts).map(int[]::clone).toArray(int[][]::new),
				Arrays.stream(shares).map(double[]::clone).toArray(double[][]::new));
	}

	/**
	 * Returns the number of layers.
	 * @return the count
	 */
	public int layers() {
		return this.experts.length;
	}

	/**
	 * Returns the expert that a slot holds.
	 * @param layer the layer
	 * @param position the slot's position
	 * @return the expert, or {@link #EMPTY}
	 */
	public int expert(int layer, int position) {
		return this.experts[layer][position];
	}

	/**
	 * Returns the share of its expert's traffic that a copy receives.
	 * @param layer the layer
	 * @param position the slot's position
	 * @return the share, from 0 to 1; the shares of all copies of an expert add up to 1
	 */
	public double share(int layer, int position) {
		return this.shares[layer][position];
	}

	/**
	 * Returns whether a rank holds a copy of an expert.
	 * @param shape the group's shape
	 * @param layer the layer
	 * @param rank the rank
	 * @param expert the expert
	 * @return {@code true} if one of the rank's slots holds the expert
	 */
	public boolean holds(GroupShape shape, int layer, int rank, int expert) {
		int from = rank * shape.stride();
		for (int position = from; position < from + shape.stride(); position++) {
			if (this.experts[layer][position] == expert) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Computes the time that each rank needs for one layer.
	 * @param shape the group's shape
	 * @param layer the layer
	 * @param popularity the traffic of each expert of the layer
	 * @param speeds the speed of each rank, 1 for a healthy one
	 * @return the time of each rank, in units of traffic at speed 1
	 */
	public double[] rankTimes(GroupShape shape, int layer, double[] popularity, double[] speeds) {
		double[] times = new double[shape.ranks()];
		for (int position = 0; position < this.experts[layer].length; position++) {
			int expert = this.experts[layer][position];
			if (expert != EMPTY) {
				times[position / shape.stride()] += popularity[expert] * this.shares[layer][position];
			}
		}
		for (int rank = 0; rank < times.length; rank++) {
			times[rank] /= speeds[rank];
		}
		return times;
	}

	int[] layerExperts(int layer) {
		return this.experts[layer];
	}

	double[] layerShares(int layer) {
		return this.shares[layer];
	}

	boolean isLayerEmpty(int layer) {
		return Arrays.stream(this.experts[layer]).allMatch((expert) -> expert == EMPTY);
	}

}
