package org.comfreywall.bench.placement;

import org.comfreywall.group.placement.Placement;

/**
 * Keeps the first placement.
 */
final class NeverPolicy implements RebalancePolicy {

	@Override
	public String name() {
		return "never";
	}

	@Override
	public void observe(double[][] counts) {
		// needs no counts
	}

	@Override
	public Placement plan(Placement present, double[] speeds) {
		return present;
	}

}
