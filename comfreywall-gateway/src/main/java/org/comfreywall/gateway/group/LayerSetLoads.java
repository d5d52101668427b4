package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * The load of each rank for one set of layers, updated incrementally while a plan moves
 * experts. Adding or removing a copy takes time in proportion to the copies of that
 * expert, not to the number of ranks.
 */
final class LayerSetLoads {

	private final double[] traffic;

	private final double[] slowdown;

	private final List<List<Integer>> present;

	private final List<List<Integer>> holders;

	private final List<List<Integer>> expertsOf;

	private final double[] loads;

	private double cost;

	private LayerSetLoads(double[] traffic, double[] slowdown, List<List<Integer>> present, List<List<Integer>> holders,
			List<List<Integer>> held) {
		this.traffic = traffic;
		this.slowdown = slowdown;
		this.present = present;
		this.holders = holders;
		this.expertsOf = held;
		this.loads = new double[held.size()];
	}

	static LayerSetLoads of(List<List<Integer>> experts, double[] traffic, double[] slowdown) {
		List<List<Integer>> holders = new ArrayList<>();
		for (int expert = 0; expert < traffic.length; expert++) {
			holders.add(new ArrayList<>());
		}
		List<List<Integer>> held = new ArrayList<>();
		for (int rank = 0; rank < experts.size(); rank++) {
			held.add(new ArrayList<>(experts.get(rank)));
			for (int expert : experts.get(rank)) {
				holders.get(expert).add(rank);
			}
		}
		LayerSetLoads set = new LayerSetLoads(traffic, slowdown, experts, holders, held);
		set.recompute();
		return set;
	}

	// Computes loads and cost afresh to remove rounding errors of incremental updates.
	void recompute() {
		this.cost = 0;
		for (int rank = 0; rank < this.loads.length; rank++) {
			this.loads[rank] = 0;
			for (int expert : this.expertsOf.get(rank)) {
				this.loads[rank] += share(expert) * this.slowdown[rank];
			}
			this.cost += costOf(this.loads[rank]);
		}
	}

	private double share(int expert) {
		return this.traffic[expert] / copies(expert);
	}

	int ranks() {
		return this.loads.length;
	}

	int copies(int expert) {
		return this.holders.get(expert).size();
	}

	List<Integer> expertsOf(int rank) {
		return this.expertsOf.get(rank);
	}

	boolean holds(int rank, int expert) {
		return this.holders.get(expert).contains(rank);
	}

	// Whether the rank does not hold the expert in the layout in force and must copy it.
	boolean mustCopy(int rank, int expert) {
		return !this.present.get(rank).contains(expert);
	}

	List<List<Integer>> layout() {
		return this.expertsOf.stream().map((experts) -> experts.stream().sorted().toList()).toList();
	}

	List<Integer> heaviest(int rank, int most) {
		return this.expertsOf.get(rank)
			.stream()
			.sorted(Comparator.comparingDouble((Integer expert) -> -share(expert)))
			.limit(most)
			.toList();
	}

	List<Integer> lightest(int most, IntPredicate allowed) {
		return IntStream.range(0, this.loads.length)
			.filter(allowed)
			.boxed()
			.sorted(Comparator.comparingDouble((Integer rank) -> this.loads[rank]))
			.limit(most)
			.toList();
	}

	int busiest() {
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
			sum += this.loads[rank] / this.slowdown[rank];
		}
		return (sum > 0) ? this.loads[busiest()] * this.loads.length / sum : 1;
	}

	void add(int rank, int expert) {
		double before = (copies(expert) > 0) ? share(expert) : 0;
		double after = this.traffic[expert] / (copies(expert) + 1);
		this.holders.get(expert).forEach((holder) -> change(holder, after - before));
		this.holders.get(expert).add(rank);
		this.expertsOf.get(rank).add(expert);
		change(rank, after);
	}

	void remove(int rank, int expert) {
		double before = share(expert);
		this.holders.get(expert).remove((Integer) rank);
		this.expertsOf.get(rank).remove((Integer) expert);
		change(rank, -before);
		if (copies(expert) > 0) {
			double after = share(expert);
			this.holders.get(expert).forEach((holder) -> change(holder, after - before));
		}
	}

	private void change(int rank, double difference) {
		this.cost -= costOf(this.loads[rank]);
		this.loads[rank] += difference * this.slowdown[rank];
		this.cost += costOf(this.loads[rank]);
	}

	// The eighth power lets the highest loads dominate, and unlike the maximum it still
	// decreases with each step if several ranks share the highest load.
	private static double costOf(double load) {
		double square = load * load;
		return square * square * square * square;
	}

	double cost() {
		return this.cost;
	}

}
