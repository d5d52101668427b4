package org.comfreywall.bench.placement;

import org.comfreywall.group.placement.Placement;

/**
 * Keeps the first placement, as a baseline without any moves.
 */
final class NeverPolicy implements RebalancePolicy {

	@Override
	public String name() {
		return "never";
	}

	@Override
	public void observe(double[][] counts) {
		// the placement does not depend on the counts
	}

	@Override
	public Placement plan(Placement current, double[] speeds) {
		return current;
	}

}
