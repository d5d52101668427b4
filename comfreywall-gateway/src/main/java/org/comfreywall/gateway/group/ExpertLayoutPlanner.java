package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * Plans a layout close to the present one that lowers the load of the most loaded rank of
 * each set, by greedy local search.
 * <p>
 * For engines that split an expert's work evenly over its copies and limit how many
 * experts a rank may receive in one switch. Popular experts can change every few seconds,
 * so a switch must be quick: ranks copy in parallel, but each rank copies one expert at a
 * time, so a plan spreads its copies over the ranks and limits the copies of each rank
 * over all sets together. Improvements beyond that limit are left to the next switch. The
 * load of a slow rank is weighted by its slowdown factor.
 */
final class ExpertLayoutPlanner {

	/** The most steps for one set; each moves load away from the most loaded rank. */
	private static final int MAX_STEPS = 150;

	/**
	 * A step must lower the cost by this many times the average cost of a rank to be
	 * worth a copy. The threshold is relative to one rank because in a large group each
	 * step lowers the total cost by a small share only.
	 */
	private static final double WORTHWHILE_RANKS = 1.1;

	/**
	 * Experts of the busiest rank that are considered; the others carry too little load
	 * to matter.
	 */
	private static final int EXPERTS_TRIED = 3;

	/** Least loaded ranks that are considered as targets of a copy. */
	private static final int RANKS_TRIED = 5;

	private final int placesPerRank;

	private final int newPerSet;

	private final int newPerRank;

	/**
	 * Creates a planner.
	 * @param placesPerRank the most experts of a set on one rank
	 * @param newPerSet the most experts of one set that one switch may add to a rank
	 * @param newPerRank the most experts of all sets together that one switch may add to
	 * a rank
	 */
	ExpertLayoutPlanner(int placesPerRank, int newPerSet, int newPerRank) {
		Preconditions.check(placesPerRank >= 1, "placesPerRank must be at least 1: %d", placesPerRank);
		Preconditions.check(newPerSet >= 0, "newPerSet must not be negative: %d", newPerSet);
		Preconditions.check(newPerRank >= 0, "newPerRank must not be negative: %d", newPerRank);
		this.placesPerRank = placesPerRank;
		this.newPerSet = newPerSet;
		this.newPerRank = newPerRank;
	}

	/**
	 * Plans a layout.
	 * @param present the layout in force
	 * @param demand the load of the experts and the slowdown of the ranks
	 * @return a layout that one switch can reach, equal to the present one if no step
	 * pays
	 */
	ExpertLayout plan(ExpertLayout present, ExpertDemand demand) {
		List<LayerSetLoads> sets = new ArrayList<>();
		for (int set = 0; set < present.sets(); set++) {
			sets.add(LayerSetLoads.of(present.experts().get(set), demand.chosen()[set], demand.slowdown()));
		}
		int[] copies = new int[present.ranks()];
		List<LayerSetLoads> improvable = new ArrayList<>(sets);
		for (int step = 0; step < MAX_STEPS * sets.size() && !improvable.isEmpty(); step++) {
			LayerSetLoads worst = Collections.max(improvable, Comparator.comparingDouble(LayerSetLoads::skew));
			Optional<Step> best = bestStep(worst, copies);
			if (best.isPresent()) {
				best.get().apply(worst);
				worst.recompute();
				best.get().countCopies(worst, copies);
			}
			else {
				improvable.remove(worst);
			}
		}
		return new ExpertLayout(sets.stream().map(LayerSetLoads::layout).toList());
	}

	private Optional<Step> bestStep(LayerSetLoads loads, int[] copies) {
		double least = loads.cost() * (1 - WORTHWHILE_RANKS / loads.ranks());
		Step best = null;
		for (Step step : steps(loads, copies)) {
			step.apply(loads);
			double cost = loads.cost();
			step.undo(loads);
			if (cost < least) {
				least = cost;
				best = step;
			}
		}
		return Optional.ofNullable(best);
	}

	private List<Step> steps(LayerSetLoads loads, int[] copies) {
		List<Step> steps = new ArrayList<>();
		int busiest = loads.busiest();
		List<Integer> lightest = loads.lightest(RANKS_TRIED, (rank) -> copies[rank] < this.newPerRank);
		for (int expert : loads.heaviest(busiest, EXPERTS_TRIED)) {
			if (loads.copies(expert) > 1) {
				steps.add(new Step(busiest, expert, Step.NONE, Step.NONE, Step.NONE));
			}
			for (int rank : lightest) {
				if (rank != busiest && !loads.holds(rank, expert)) {
					addCopies(steps, loads, copies, new Transfer(busiest, expert, rank));
				}
			}
		}
		return steps;
	}

	private void addCopies(List<Step> steps, LayerSetLoads loads, int[] copies, Transfer transfer) {
		int from = transfer.from();
		int to = transfer.to();
		int expert = transfer.expert();
		if (loads.expertsOf(to).size() < this.placesPerRank && isWithinNewPerSet(loads, to, expert, Step.NONE)) {
			steps.add(new Step(Step.NONE, Step.NONE, to, expert, Step.NONE));
			steps.add(new Step(from, expert, to, expert, Step.NONE));
			return;
		}
		for (int evicted : loads.expertsOf(to)) {
			if (!isWithinNewPerSet(loads, to, expert, evicted)) {
				continue;
			}
			if (loads.copies(evicted) > 1) {
				steps.add(new Step(Step.NONE, Step.NONE, to, expert, evicted));
			}
			boolean canSwap = copies[from] < this.newPerRank && !loads.holds(from, evicted)
					&& isWithinNewPerSet(loads, from, evicted, expert);
			if (canSwap) {
				steps.add(new Step(from, expert, to, expert, evicted));
			}
		}
	}

	// Whether the rank stays within its limit of new experts of this set if it takes
	// the expert and drops the evicted one.
	private boolean isWithinNewPerSet(LayerSetLoads loads, int rank, int expert, int evicted) {
		int added = loads.mustCopy(rank, expert) ? 1 : 0;
		for (int held : loads.expertsOf(rank)) {
			if (held != evicted && loads.mustCopy(rank, held)) {
				added++;
			}
		}
		return added <= this.newPerSet;
	}

	/**
	 * A possible copy of an expert to another rank.
	 */
	private record Transfer(int from, int expert, int to) {
	}

	/**
	 * A change of one set: the leaving expert is removed from one rank, the coming expert
	 * is added to another, and the evicted expert is removed there to make room. If there
	 * are both a leaving and an evicted expert, they swap ranks.
	 */
	private record Step(int from, int leaving, int to, int coming, int evicted) {

		static final int NONE = -1;

		// A copy that a later step of the plan evicts stays counted, which leaves a
		// little of the limit unused.
		void countCopies(LayerSetLoads loads, int[] copies) {
			if (this.coming != NONE && loads.mustCopy(this.to, this.coming)) {
				copies[this.to]++;
			}
			if (this.evicted != NONE && this.leaving != NONE && loads.mustCopy(this.from, this.evicted)) {
				copies[this.from]++;
			}
		}

		void apply(LayerSetLoads loads) {
			if (this.coming != NONE) {
				loads.add(this.to, this.coming);
			}
			if (this.evicted != NONE && this.leaving != NONE) {
				loads.add(this.from, this.evicted);
			}
			if (this.leaving != NONE) {
				loads.remove(this.from, this.leaving);
			}
			if (this.evicted != NONE) {
				loads.remove(this.to, this.evicted);
			}
		}

		void undo(LayerSetLoads loads) {
			if (this.evicted != NONE) {
				loads.add(this.to, this.evicted);
			}
			if (this.leaving != NONE) {
				loads.add(this.from, this.leaving);
			}
			if (this.evicted != NONE && this.leaving != NONE) {
				loads.remove(this.from, this.evicted);
			}
			if (this.coming != NONE) {
				loads.remove(this.to, this.coming);
			}
		}

	}

}
