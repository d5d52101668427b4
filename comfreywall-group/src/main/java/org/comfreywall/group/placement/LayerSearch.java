package org.comfreywall.group.placement;

import java.util.Optional;

/**
 * Improves the placement of one layer by local search, and returns the cheapest and the
 * fastest placement found on the way.
 */
final class LayerSearch {

	private static final int SWEEPS = 12;

	static final int FINAL_SWEEPS = 60;

	private static final int MAX_STEPS_WITHOUT_GAIN = 6;

	private static final double MIN_GAIN = 1e-9;

	private final GroupShape shape;

	private final CopySpread spread;

	private final int maximumSteps;

	LayerSearch(GroupShape shape, CopySpread spread, int maximumSteps) {
		this.shape = shape;
		this.spread = spread;
		this.maximumSteps = maximumSteps;
	}

	/**
	 * Searches from a given state of the layer.
	 * @param start the initial state, modified by the search
	 * @param origin the experts that the positions hold now; an expert elsewhere must be
	 * read
	 * @param skewCost the price of one unit of the slowest rank's time
	 * @param readCost the price of reading one expert
	 * @return the unchanged, the cheapest and the fastest placement
	 */
	LayerOutcome search(LayerState start, int[] origin, double skewCost, double readCost) {
		start.splitAll(FINAL_SWEEPS);
		LayerOption initial = option(start, origin);
		LayerOption cheapest = initial;
		LayerOption fastest = initial;
		ExchangeFinder finder = new ExchangeFinder(start, this.spread);
		int stepsLeft = MAX_STEPS_WITHOUT_GAIN;
		for (int step = 0; step < this.maximumSteps && stepsLeft > 0; step++) {
			Optional<Exchange> exchange = finder.find();
			if (exchange.isEmpty()) {
				break;
			}
			exchange.get().apply(start);
			start.splitAll(SWEEPS);
			stepsLeft--;
			LayerOption option = option(start, origin);
			if (option.slowestTime() < fastest.slowestTime() - MIN_GAIN) {
				fastest = option;
				stepsLeft = MAX_STEPS_WITHOUT_GAIN;
			}
			if (option.price(skewCost, readCost) < cheapest.price(skewCost, readCost) - MIN_GAIN) {
				cheapest = option;
			}
		}
		return new LayerOutcome(initial, cheapest, fastest);
	}

	private LayerOption option(LayerState state, int[] origin) {
		int[] experts = SlotKeeper.keepSlots(this.shape, origin, state.experts());
		return new LayerOption(experts, SlotKeeper.countReads(origin, experts), state.slowestTime());
	}

}
