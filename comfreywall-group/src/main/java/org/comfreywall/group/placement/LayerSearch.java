package org.comfreywall.group.placement;

import java.util.Optional;

/**
 * Improves one layer step by step and keeps the step of the lowest price and the one of
 * the lowest skew.
 */
final class LayerSearch {

	private static final int SWEEPS = 12;

	static final int FINAL_SWEEPS = 60;

	private static final int PATIENCE = 6;

	private static final double LEAST_GAIN = 1e-9;

	private final GroupShape shape;

	private final CopySpread spread;

	private final int maximumSteps;

	LayerSearch(GroupShape shape, CopySpread spread, int maximumSteps) {
		this.shape = shape;
		this.spread = spread;
		this.maximumSteps = maximumSteps;
	}

	/**
	 * Searches from a layer's present placement.
	 * @param start the layer, whose traffic may be split anew; is changed
	 * @param origin the experts from which reads are counted
	 * @param skewCost the price of one unit of the layer's slowest rank time
	 * @param readCost the price of reading one expert
	 * @return the outcome
	 */
	LayerOutcome search(LayerState start, int[] origin, double skewCost, double readCost) {
		start.splitAll(FINAL_SWEEPS);
		LayerOption stay = option(start, origin);
		LayerOption cheapest = stay;
		LayerOption fastest = stay;
		ExchangeFinder finder = new ExchangeFinder(start, this.spread);
		int patience = PATIENCE;
		for (int step = 0; step < this.maximumSteps && patience > 0; step++) {
			Optional<Exchange> exchange = finder.find();
			if (exchange.isEmpty()) {
				break;
			}
			exchange.get().apply(start);
			start.splitAll(SWEEPS);
			patience--;
			LayerOption reached = option(start, origin);
			if (reached.slowest() < fastest.slowest() - LEAST_GAIN) {
				fastest = reached;
				patience = PATIENCE;
			}
			if (reached.price(skewCost, readCost) < cheapest.price(skewCost, readCost) - LEAST_GAIN) {
				cheapest = reached;
			}
		}
		return new LayerOutcome(stay, cheapest, fastest);
	}

	private LayerOption option(LayerState state, int[] origin) {
		int[] experts = PositionKeeper.keep(this.shape, origin, state.experts());
		return new LayerOption(experts, PositionKeeper.reads(origin, experts), state.slowest());
	}

}
