package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * Plans a layout close to the current one that lowers the load of the most loaded rank of
 * each set, by greedy local search.
 * <p>
 * For engines that split an expert's work evenly over its copies and limit how many
 * experts a rank may receive in one switch. Popular experts can change every few seconds,
 * so a switch must be quick: ranks copy in parallel, but each rank copies one expert at a
 * time. A plan therefore spreads its copies over the ranks and limits the copies of each
 * rank over all sets together. Improvements beyond that limit are left to the next
 * switch. The load of a slow rank is weighted by its slowdown factor.
 */
final class ExpertLayoutPlanner {

	/**
	 * Mean number of moves per set at which a plan ends; each moves load away from the
	 * most loaded rank of one set.
	 */
	private static final int MAX_MOVES_PER_SET = 150;

	/**
	 * Minimum reduction of the cost of a set, in multiples of the mean cost of a rank,
	 * for a move to be worth a copy. The threshold is relative to one rank because in a
	 * large group each move lowers the total cost by a small share only.
	 */
	private static final double MIN_COST_REDUCTION_IN_RANKS = 1.1;

	/**
	 * Number of experts of the most loaded rank that are considered; the others have too
	 * little load to matter.
	 */
	private static final int MAX_CANDIDATE_EXPERTS = 3;

	/** Number of the least loaded ranks that are considered as targets of a copy. */
	private static final int MAX_CANDIDATE_RANKS = 5;

	private final int placesPerRank;

	private final int newPerSet;

	private final int newPerRank;

	/**
	 * Creates a planner.
	 * @param placesPerRank the maximum number of experts of a set on one rank
	 * @param newPerSet the maximum number of experts of one set that one switch may add
	 * to a rank
	 * @param newPerRank the maximum number of experts of all sets together that one
	 * switch may add to a rank
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
	 * @param current the layout in force
	 * @param demand the load of the experts and the slowdown of the ranks
	 * @return a layout that one switch can reach, equal to the current one if no move is
	 * worth a copy
	 */
	ExpertLayout plan(ExpertLayout current, ExpertDemand demand) {
		List<LayerSetLoads> sets = new ArrayList<>();
		for (int set = 0; set < current.sets(); set++) {
			sets.add(LayerSetLoads.of(current.experts().get(set), demand.choiceCounts()[set], demand.slowdowns()));
		}
		int[] newCopiesByRank = new int[current.ranks()];
		List<LayerSetLoads> improvable = new ArrayList<>(sets);
		for (int move = 0; move < MAX_MOVES_PER_SET * sets.size() && !improvable.isEmpty(); move++) {
			LayerSetLoads worst = Collections.max(improvable, Comparator.comparingDouble(LayerSetLoads::skew));
			Optional<Move> best = bestMove(worst, newCopiesByRank);
			if (best.isPresent()) {
				best.get().apply(worst);
				worst.recompute();
				best.get().countCopies(worst, newCopiesByRank);
			}
			else {
				improvable.remove(worst);
			}
		}
		return new ExpertLayout(sets.stream().map(LayerSetLoads::layout).toList());
	}

	private Optional<Move> bestMove(LayerSetLoads loads, int[] newCopiesByRank) {
		double least = loads.cost() * (1 - MIN_COST_REDUCTION_IN_RANKS / loads.ranks());
		Move best = null;
		for (Move move : candidateMoves(loads, newCopiesByRank)) {
			move.apply(loads);
			double cost = loads.cost();
			move.undo(loads);
			if (cost < least) {
				least = cost;
				best = move;
			}
		}
		return Optional.ofNullable(best);
	}

	private List<Move> candidateMoves(LayerSetLoads loads, int[] newCopiesByRank) {
		List<Move> moves = new ArrayList<>();
		int busiest = loads.mostLoadedRank();
		List<Integer> lightest = loads.leastLoadedRanks(MAX_CANDIDATE_RANKS,
				(rank) -> newCopiesByRank[rank] < this.newPerRank);
		for (int expert : loads.heaviestExperts(busiest, MAX_CANDIDATE_EXPERTS)) {
			if (loads.copyCount(expert) > 1) {
				moves.add(new Move(busiest, expert, Move.NONE, Move.NONE, Move.NONE));
			}
			for (int rank : lightest) {
				if (rank != busiest && !loads.holds(rank, expert)) {
					addMovesFor(moves, loads, newCopiesByRank, new Transfer(busiest, expert, rank));
				}
			}
		}
		return moves;
	}

	private void addMovesFor(List<Move> moves, LayerSetLoads loads, int[] newCopiesByRank, Transfer transfer) {
		int from = transfer.from();
		int to = transfer.to();
		int expert = transfer.expert();
		if (loads.expertsOf(to).size() < this.placesPerRank && isWithinNewPerSet(loads, to, expert, Move.NONE)) {
			moves.add(new Move(Move.NONE, Move.NONE, to, expert, Move.NONE));
			moves.add(new Move(from, expert, to, expert, Move.NONE));
			return;
		}
		for (int evicted : loads.expertsOf(to)) {
			if (!isWithinNewPerSet(loads, to, expert, evicted)) {
				continue;
			}
			if (loads.copyCount(evicted) > 1) {
				moves.add(new Move(Move.NONE, Move.NONE, to, expert, evicted));
			}
			boolean canSwap = newCopiesByRank[from] < this.newPerRank && !loads.holds(from, evicted)
					&& isWithinNewPerSet(loads, from, evicted, expert);
			if (canSwap) {
				moves.add(new Move(from, expert, to, expert, evicted));
			}
		}
	}

	// Returns whether the rank stays within its limit of new experts of this set if the
	// expert is added to it and the evicted one removed.
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
	 * A move of the local search in one set: an expert is removed from one rank, an
	 * expert is added to another rank, and an expert is evicted there to make room. Each
	 * of the three may be {@link #NONE}. If one is removed and one evicted, they swap
	 * ranks.
	 */
	private record Move(int from, int removedExpert, int to, int addedExpert, int evictedExpert) {

		static final int NONE = -1;

		// Adds the copies of this move to the number of copies by rank. A copy that a
		// later move evicts remains counted, so a little of the limit may stay unused.
		void countCopies(LayerSetLoads loads, int[] newCopiesByRank) {
			if (this.addedExpert != NONE && loads.mustCopy(this.to, this.addedExpert)) {
				newCopiesByRank[this.to]++;
			}
			if (this.evictedExpert != NONE && this.removedExpert != NONE
					&& loads.mustCopy(this.from, this.evictedExpert)) {
				newCopiesByRank[this.from]++;
			}
		}

		void apply(LayerSetLoads loads) {
			if (this.addedExpert != NONE) {
				loads.addCopy(this.to, this.addedExpert);
			}
			if (this.evictedExpert != NONE && this.removedExpert != NONE) {
				loads.addCopy(this.from, this.evictedExpert);
			}
			if (this.removedExpert != NONE) {
				loads.removeCopy(this.from, this.removedExpert);
			}
			if (this.evictedExpert != NONE) {
				loads.removeCopy(this.to, this.evictedExpert);
			}
		}

		void undo(LayerSetLoads loads) {
			if (this.evictedExpert != NONE) {
				loads.addCopy(this.to, this.evictedExpert);
			}
			if (this.removedExpert != NONE) {
				loads.addCopy(this.from, this.removedExpert);
			}
			if (this.evictedExpert != NONE && this.removedExpert != NONE) {
				loads.removeCopy(this.from, this.evictedExpert);
			}
			if (this.addedExpert != NONE) {
				loads.removeCopy(this.to, this.addedExpert);
			}
		}

	}

}
