package org.comfreywall.group.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Finds the exchange that takes an expert from the slowest rank of a layer and lowers the
 * potential of the rank times most for each expert read.
 */
final class ExchangeFinder {

	private static final int MAX_REPLACE_TARGETS = 10;

	private static final int MAX_SWAP_TARGETS = 5;

	private static final int LOCAL_SWEEPS = 2;

	private final LayerState state;

	private final CopySpread spread;

	private final double referenceTime;

	private final TrafficSnapshot traffic;

	private double potential;

	private double bestScore;

	private Exchange best;

	ExchangeFinder(LayerState state, CopySpread spread) {
		this.state = state;
		this.spread = spread;
		this.referenceTime = state.balancedTime();
		this.traffic = state.traffic();
	}

	Optional<Exchange> find() {
		this.state.saveTraffic(this.traffic);
		this.potential = this.state.potential(this.referenceTime);
		this.bestScore = 0;
		this.best = null;
		int[] fastestFirst = fastestFirst();
		int slowest = fastestFirst[fastestFirst.length - 1];
		for (int slot = 0; slot < this.state.shape().slots(slowest); slot++) {
			int source = slowest * this.state.shape().stride() + slot;
			if (this.state.expertAt(source) != Placement.EMPTY && this.state.flowAt(source) > 0) {
				tryReplacements(source, fastestFirst);
				trySwaps(source, fastestFirst);
			}
		}
		return Optional.ofNullable(this.best);
	}

	private int[] fastestFirst() {
		return IntStream.range(0, this.state.shape().ranks())
			.filter((rank) -> this.state.shape().slots(rank) > 0)
			.boxed()
			.sorted(Comparator.comparingDouble(this.state::time))
			.mapToInt(Integer::intValue)
			.toArray();
	}

	private void tryReplacements(int source, int[] fastestFirst) {
		int expert = this.state.expertAt(source);
		int tried = 0;
		for (int index = 0; index < fastestFirst.length - 1 && tried < MAX_REPLACE_TARGETS; index++) {
			int rank = fastestFirst[index];
			int target = this.state.holds(rank, expert) ? -1 : findReplaceableSlot(rank);
			if (target >= 0) {
				tried++;
				evaluate(new Exchange(expert, target, this.state.expertAt(target), Exchange.DROPPED), source);
			}
		}
	}

	// Returns a free slot of the rank, or else the slot with the least traffic whose copy
	// can be dropped without breaking its expert's spread, or -1.
	private int findReplaceableSlot(int rank) {
		int free = this.state.freeSlot(rank);
		if (free >= 0) {
			return free;
		}
		int candidate = -1;
		int from = rank * this.state.shape().stride();
		for (int position = from; position < from + this.state.shape().slots(rank); position++) {
			int expert = this.state.expertAt(position);
			if ((candidate < 0 || this.state.flowAt(position) < this.state.flowAt(candidate))
					&& this.state.hasSpreadAfter(expert, position, -1, this.spread)) {
				candidate = position;
			}
		}
		return candidate;
	}

	private void trySwaps(int source, int[] fastestFirst) {
		int targets = Math.min(MAX_SWAP_TARGETS, fastestFirst.length - 1);
		for (int index = 0; index < targets; index++) {
			int from = fastestFirst[index] * this.state.shape().stride();
			int to = from + this.state.shape().slots(fastestFirst[index]);
			for (int target = from; target < to; target++) {
				if (canSwap(source, target)) {
					evaluate(new Exchange(this.state.expertAt(source), target, this.state.expertAt(target), source),
							source);
				}
			}
		}
	}

	private boolean canSwap(int source, int target) {
		int expert = this.state.expertAt(source);
		int other = this.state.expertAt(target);
		int sourceRank = this.state.rankOf(source);
		int targetRank = this.state.rankOf(target);
		return other != Placement.EMPTY && this.state.flowAt(target) < this.state.flowAt(source)
				&& !this.state.holds(targetRank, expert) && !this.state.holds(sourceRank, other)
				&& this.state.hasSpreadAfter(expert, source, targetRank, this.spread)
				&& this.state.hasSpreadAfter(other, target, sourceRank, this.spread);
	}

	private void evaluate(Exchange exchange, int source) {
		exchange.apply(this.state);
		this.state.split(exchange.expert());
		if (exchange.evicted() != Placement.EMPTY) {
			this.state.split(exchange.evicted());
		}
		for (int sweep = 0; sweep < LOCAL_SWEEPS; sweep++) {
			this.state.splitRank(this.state.rankOf(exchange.target()));
			this.state.splitRank(this.state.rankOf(source));
		}
		double score = (this.potential - this.state.potential(this.referenceTime)) / exchange.readCount();
		exchange.undo(this.state);
		this.state.restoreTraffic(this.traffic);
		if (score > this.bestScore) {
			this.bestScore = score;
			this.best = exchange;
		}
	}

}
