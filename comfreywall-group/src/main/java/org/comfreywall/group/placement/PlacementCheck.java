package org.comfreywall.group.placement;

/**
 * Checks whether placements are valid for a group's shape.
 */
final class PlacementCheck {

	private static final double ROUNDING_TOLERANCE = 1e-6;

	private PlacementCheck() {
	}

	// Returns whether every expert has a copy, all copies are in usable slots, no rank
	// holds an expert twice, and the shares of each expert add up to 1.
	static boolean isValid(GroupShape shape, Placement placement) {
		for (int layer = 0; layer < shape.layers(); layer++) {
			if (!isValid(shape, placement, layer)) {
				return false;
			}
		}
		return true;
	}

	private static boolean isValid(GroupShape shape, Placement placement, int layer) {
		double[] shares = new double[shape.experts()];
		// Positions are ordered by rank. For each expert: 1 + the last rank with a copy,
		// or 0 if there is none yet.
		int[] lastRankPlusOne = new int[shape.experts()];
		for (int position = 0; position < shape.ranks() * shape.stride(); position++) {
			int expert = placement.expert(layer, position);
			if (expert != Placement.EMPTY) {
				int rank = position / shape.stride();
				if (position % shape.stride() >= shape.slots(rank) || lastRankPlusOne[expert] == rank + 1) {
					return false;
				}
				lastRankPlusOne[expert] = rank + 1;
				shares[expert] += placement.share(layer, position);
			}
		}
		for (double share : shares) {
			if (Math.abs(share - 1) > ROUNDING_TOLERANCE) {
				return false;
			}
		}
		return true;
	}

}
