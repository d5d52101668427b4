package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * The load of each rank for one set of layers, updated incrementally while a plan moves
 * experts. The load of an expert is split evenly over its copies, and the load of a rank
 * is weighted by its slowdown factor. Adding or removing a copy takes time in proportion
 * to the copies of that expert, not to the number of ranks.
 */
final class LayerSetLoads {

	private final double[] choiceCounts;

	private final double[] slowdowns;

	private final List<List<Integer>> expertsInForce;

	private final List<List<Integer>> ranksByExpert;

	private final List<List<Integer>> expertsByRank;

	private final double[] loads;

	private double cost;

	private LayerSetLoads(double[] choiceCounts, double[] slowdowns, List<List<Integer>> expertsInForce,
			List<List<Integer>> ranksByExpert, List<List<Integer>> expertsByRank) {
		this.choiceCounts = choiceCounts;
		this.slowdowns = slowdowns;
		this.expertsInForce = expertsInForce;
		this.ranksByExpert = ranksByExpert;
		this.expertsByRank = expertsByRank;
		this.loads = new double[expertsByRank.size()];
	}

	/**
	 * Creates the loads of one set.
	 * @param experts the experts of each rank in the layout in force
	 * @param choiceCounts the number of times that each expert was chosen
	 * @param slowdowns the slowdown factor of each rank
	 * @return the loads
	 */
	static LayerSetLoads of(List<List<Integer>> experts, double[] choiceCounts, double[] slowdowns) {
		List<List<Integer>> ranksByExpert = new ArrayList<>();
		for (int expert = 0; expert < choiceCounts.length; expert++) {
			ranksByExpert.add(new ArrayList<>());
		}
		List<List<Integer>> expertsByRank = new ArrayList<>();
		for (int rank = 0; rank < experts.size(); rank++) {
			expertsByRank.add(new ArrayList<>(experts.get(rank)));
			for (int expert : experts.get(rank)) {
				ranksByExpert.get(expert).add(rank);
			}
		}
		LayerSetLoads set = new LayerSetLoads(choiceCounts, slowdowns, experts, ranksByExpert, expertsByRank);
		set.recompute();
		return set;
	}

	// Recomputes loads and cost to remove rounding errors of incremental updates.
	void recompute() {
		this.cost = 0;
		for (int rank = 0; rank < this.loads.length; rank++) {
			this.loads[rank] = 0;
			for (int expert : this.expertsByRank.get(rank)) {
				this.loads[rank] += loadPerCopy(expert) * this.slowdowns[rank];
			}
			this.cost += costOf(this.loads[rank]);
		}
	}

	private double loadPerCopy(int expert) {
		return this.choiceCounts[expert] / copyCount(expert);
	}

	int ranks() {
		return this.loads.length;
	}

	int copyCount(int expert) {
		return this.ranksByExpert.get(expert).size();
	}

	List<Integer> expertsOf(int rank) {
		return this.expertsByRank.get(rank);
	}

	boolean holds(int rank, int expert) {
		return this.ranksByExpert.get(expert).contains(rank);
	}

	// Returns whether the rank must copy the expert because it does not hold it in the
	// layout in force.
	boolean mustCopy(int rank, int expert) {
		return !this.expertsInForce.get(rank).contains(expert);
	}

	List<List<Integer>> layout() {
		return this.expertsByRank.stream().map((experts) -> experts.stream().sorted().toList()).toList();
	}

	List<Integer> heaviestExperts(int rank, int most) {
		return this.expertsByRank.get(rank)
			.stream()
			.sorted(Comparator.comparingDouble((Integer expert) -> -loadPerCopy(expert)))
			.limit(most)
			.toList();
	}

	List<Integer> leastLoadedRanks(int most, IntPredicate allowed) {
		return IntStream.range(0, this.loads.length)
			.filter(allowed)
			.boxed()
			.sorted(Comparator.comparingDouble((Integer rank) -> this.loads[rank]))
			.limit(most)
			.toList();
	}

	int mostLoadedRank() {
		int busiest = 0;
		for (int rank = 1; rank < this.loads.length; rank++) {
			if (this.loads[rank] > this.loads[busiest]) {
				busiest = rank;
			}
		}
		return busiest;
	}

	// Returns the ratio of the highest load to the mean. The mean excludes the
	// slowdown factors, so that a slow rank counts as skew.
	double skew() {
		double sum = 0;
		for (int rank = 0; rank < this.loads.length; rank++) {
			sum += this.loads[rank] / this.slowdowns[rank];
		}
		return (sum > 0) ? this.loads[mostLoadedRank()] * this.loads.length / sum : 1;
	}

	void addCopy(int rank, int expert) {
		double before = (copyCount(expert) > 0) ? loadPerCopy(expert) : 0;
		double after = this.choiceCounts[expert] / (copyCount(expert) + 1);
		this.ranksByExpert.get(expert).forEach((holder) -> addLoad(holder, after - before));
		this.ranksByExpert.get(expert).add(rank);
		this.expertsByRank.get(rank).add(expert);
		addLoad(rank, after);
	}

	void removeCopy(int rank, int expert) {
		double before = loadPerCopy(expert);
		this.ranksByExpert.get(expert).remove((Integer) rank);
		this.expertsByRank.get(rank).remove((Integer) expert);
		addLoad(rank, -before);
		if (copyCount(expert) > 0) {
			double after = loadPerCopy(expert);
			this.ranksByExpert.get(expert).forEach((holder) -> addLoad(holder, after - before));
		}
	}

	private void addLoad(int rank, double difference) {
		this.cost -= costOf(this.loads[rank]);
		this.loads[rank] += difference * this.slowdowns[rank];
		this.cost += costOf(this.loads[rank]);
	}

	// The eighth power lets the highest loads dominate. Unlike the maximum,
	// the sum of the powers decreases with each move also if several ranks
	// share the highest load.
	private static double costOf(double load) {
		double square = load * load;
		return square * square * square * square;
	}

	// Returns the sum of the costs of all ranks, which the local search lowers.
	double cost() {
		return this.cost;
	}

}
