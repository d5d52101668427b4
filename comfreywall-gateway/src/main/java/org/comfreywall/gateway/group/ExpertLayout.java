package org.comfreywall.gateway.group;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Which experts each rank of a group holds, for each set of layers. All layers of a set
 * use the same assignment. An expert may have copies on several ranks.
 *
 * @param experts the numbers of the experts that are held, by set and rank
 */
public record ExpertLayout(List<List<List<Integer>>> experts) {

	public ExpertLayout {
		Preconditions.notNull(experts, "experts");
		experts = experts.stream().map((set) -> set.stream().map(List::copyOf).toList()).toList();
	}

	/**
	 * Creates a layout with one copy of each expert, assigned to the ranks round-robin,
	 * the same for all sets.
	 * @param sets the number of sets of layers
	 * @param experts the number of experts of a set
	 * @param ranks the number of ranks
	 * @return the layout
	 */
	public static ExpertLayout roundRobin(int sets, int experts, int ranks) {
		List<List<Integer>> set = new ArrayList<>();
		for (int rank = 0; rank < ranks; rank++) {
			List<Integer> held = new ArrayList<>();
			for (int expert = rank; expert < experts; expert += ranks) {
				held.add(expert);
			}
			set.add(held);
		}
		List<List<List<Integer>>> all = new ArrayList<>();
		for (int i = 0; i < sets; i++) {
			all.add(set);
		}
		return new ExpertLayout(all);
	}

	/**
	 * Returns the number of sets.
	 * @return the count
	 */
	public int sets() {
		return this.experts.size();
	}

	/**
	 * Returns the number of ranks.
	 * @return the count
	 */
	public int ranks() {
		return this.experts.get(0).size();
	}

	/**
	 * Computes the load imbalance of the layout: for each set the ratio of the highest
	 * load of a rank, weighted by its slowdown, to the mean without slowdowns; averaged
	 * over the sets. In a pass all ranks wait for the most loaded one.
	 * @param demand the load of the experts and the slowdown of the ranks
	 * @return the mean ratio; 1 if the load is even and no rank is slowed down
	 */
	double skew(ExpertDemand demand) {
		double sum = 0;
		for (int set = 0; set < sets(); set++) {
			sum += LayerSetLoads.of(this.experts.get(set), demand.choiceCounts()[set], demand.slowdowns()).skew();
		}
		return sum / sets();
	}

}
