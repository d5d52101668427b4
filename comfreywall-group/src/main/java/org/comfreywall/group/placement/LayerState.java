package org.comfreywall.group.placement;

import java.util.Arrays;

/**
 * The slots, copies and traffic of one layer during the search for a plan.
 * <p>
 * The traffic of each expert is distributed over its copies by coordinate descent on the
 * sum over ranks of {@code load^2 / speed}. The distribution that minimises this sum also
 * minimises the time of the slowest rank.
 */
final class LayerState {

	private static final double CONVERGENCE_TOLERANCE = 1e-4;

	private final GroupShape shape;

	private final int stride;

	private final double[] popularity;

	private final double[] speeds;

	private final int[] experts;

	private final double[] flows;

	private final double[] loads;

	private final int[] copies;

	private final int[] copyCounts;

	private final double[] otherLoads;

	LayerState(GroupShape shape, double[] popularity, double[] speeds) {
		this.shape = shape;
		this.stride = shape.stride();
		this.popularity = popularity;
		this.speeds = speeds;
		this.experts = new int[shape.ranks() * this.stride];
		Arrays.fill(this.experts, Placement.EMPTY);
		this.flows = new double[this.experts.length];
		this.loads = new double[shape.ranks()];
		this.copies = new int[shape.experts() * shape.ranks()];
		this.copyCounts = new int[shape.experts()];
		this.otherLoads = new double[shape.ranks()];
	}

	static LayerState from(GroupShape shape, Placement placement, int layer, double[] popularity, double[] speeds) {
		LayerState state = new LayerState(shape, popularity, speeds);
		int[] experts = placement.layerExperts(layer);
		double[] shares = placement.layerShares(layer);
		for (int position = 0; position < experts.length; position++) {
			if (experts[position] != Placement.EMPTY && state.isUsable(position)) {
				state.addCopy(position, experts[position]);
				state.addFlow(position, shares[position] * popularity[experts[position]]);
			}
		}
		return state;
	}

	GroupShape shape() {
		return this.shape;
	}

	double popularity(int expert) {
		return this.popularity[expert];
	}

	double speed(int rank) {
		return this.speeds[rank];
	}

	// Returns the rank time of a perfectly balanced layer.
	double balancedTime() {
		return Arrays.stream(this.popularity).sum() / Arrays.stream(this.speeds).sum();
	}

	int expertAt(int position) {
		return this.experts[position];
	}

	double flowAt(int position) {
		return this.flows[position];
	}

	int rankOf(int position) {
		return position / this.stride;
	}

	int copyCount(int expert) {
		return this.copyCounts[expert];
	}

	int copyPosition(int expert, int index) {
		return this.copies[expert * this.shape.ranks() + index];
	}

	int[] experts() {
		return this.experts.clone();
	}

	double time(int rank) {
		return this.loads[rank] / this.speeds[rank];
	}

	double slowestTime() {
		double slowest = 0;
		for (int rank = 0; rank < this.loads.length; rank++) {
			slowest = Math.max(slowest, time(rank));
		}
		return slowest;
	}

	// Returns the sum of the 12th powers of the rank times, relative to a reference time.
	// It is a smooth approximation of the maximum.
	double potential(double reference) {
		double sum = 0;
		for (int rank = 0; rank < this.loads.length; rank++) {
			double relative = time(rank) / reference;
			double square = relative * relative;
			double fourth = square * square;
			sum += fourth * fourth * fourth;
		}
		return sum;
	}

	boolean isUsable(int position) {
		return position % this.stride < this.shape.slots(rankOf(position));
	}

	boolean holds(int rank, int expert) {
		return copyOn(rank, expert) >= 0;
	}

	int copyOn(int rank, int expert) {
		for (int index = 0; index < this.copyCounts[expert]; index++) {
			if (rankOf(copyPosition(expert, index)) == rank) {
				return copyPosition(expert, index);
			}
		}
		return -1;
	}

	// Returns the position of a free slot of the rank, or -1.
	int freeSlot(int rank) {
		int from = rank * this.stride;
		for (int position = from; position < from + this.shape.slots(rank); position++) {
			if (this.experts[position] == Placement.EMPTY) {
				return position;
			}
		}
		return -1;
	}

	void addCopy(int position, int expert) {
		this.experts[position] = expert;
		this.copies[expert * this.shape.ranks() + this.copyCounts[expert]] = position;
		this.copyCounts[expert]++;
	}

	void removeCopy(int position) {
		int expert = this.experts[position];
		addFlow(position, -this.flows[position]);
		this.flows[position] = 0;
		this.experts[position] = Placement.EMPTY;
		int from = expert * this.shape.ranks();
		int last = from + --this.copyCounts[expert];
		for (int index = from; index < last; index++) {
			if (this.copies[index] == position) {
				this.copies[index] = this.copies[last];
				return;
			}
		}
	}

	// Returns whether an expert has its spread after removing the copy at one position
	// and adding a copy to one rank; -1 removes or adds none.
	boolean hasSpreadAfter(int expert, int removed, int addedRank, CopySpread spread) {
		int count = 0;
		int firstDomain = -1;
		boolean domainsDiffer = false;
		for (int index = 0; index <= this.copyCounts[expert]; index++) {
			int rank = rankOfCopy(expert, index, removed, addedRank);
			if (rank >= 0) {
				count++;
				int domain = this.shape.domain(rank);
				domainsDiffer |= firstDomain >= 0 && domain != firstDomain;
				firstDomain = domain;
			}
		}
		return count >= spread.minimumCopies() && (spread != CopySpread.FAILURE_DOMAINS || domainsDiffer);
	}

	private int rankOfCopy(int expert, int index, int removed, int addedRank) {
		if (index == this.copyCounts[expert]) {
			return addedRank;
		}
		int position = copyPosition(expert, index);
		return (position == removed) ? -1 : rankOf(position);
	}

	// Distributes an expert's traffic over its copies by water-filling, with the traffic
	// of all other experts fixed. Returns the largest change of a copy's traffic.
	double split(int expert) {
		int count = this.copyCounts[expert];
		if (count == 0) {
			return 0;
		}
		double level = waterLevel(expert, count);
		double change = 0;
		for (int index = 0; index < count; index++) {
			int position = copyPosition(expert, index);
			int rank = rankOf(position);
			double flow = Math.max(0, level * this.speeds[rank] - this.otherLoads[index]);
			change = Math.max(change, Math.abs(flow - this.flows[position]));
			this.loads[rank] += flow - this.flows[position];
			this.flows[position] = flow;
		}
		return change;
	}

	private double waterLevel(int expert, int count) {
		double load = this.popularity[expert];
		double speed = 0;
		for (int index = 0; index < count; index++) {
			int position = copyPosition(expert, index);
			this.otherLoads[index] = this.loads[rankOf(position)] - this.flows[position];
			load += this.otherLoads[index];
			speed += this.speeds[rankOf(position)];
		}
		return excludeOverloadedRanks(expert, count, load, speed);
	}

	// Excludes copies on ranks whose other traffic already exceeds the water level.
	private double excludeOverloadedRanks(int expert, int count, double load, double speed) {
		double level = load / speed;
		boolean[] excluded = null;
		boolean changed = count > 1;
		while (changed) {
			changed = false;
			for (int index = 0; index < count; index++) {
				double rankSpeed = this.speeds[rankOf(copyPosition(expert, index))];
				if ((excluded == null || !excluded[index]) && this.otherLoads[index] > level * rankSpeed) {
					excluded = (excluded != null) ? excluded : new boolean[count];
					excluded[index] = true;
					load -= this.otherLoads[index];
					speed -= rankSpeed;
					level = load / speed;
					changed = true;
				}
			}
		}
		return level;
	}

	// Redistributes the traffic of the experts on one rank.
	void splitRank(int rank) {
		int from = rank * this.stride;
		for (int position = from; position < from + this.shape.slots(rank); position++) {
			int expert = this.experts[position];
			if (expert != Placement.EMPTY && this.copyCounts[expert] > 1) {
				split(expert);
			}
		}
	}

	// Redistributes the traffic of all experts until it converges, for at most the given
	// number of sweeps.
	void splitAll(int sweeps) {
		double mean = balancedTime();
		for (int sweep = 0; sweep < sweeps; sweep++) {
			double change = 0;
			for (int expert = 0; expert < this.copyCounts.length; expert++) {
				change = Math.max(change, split(expert));
			}
			if (change < CONVERGENCE_TOLERANCE * mean) {
				return;
			}
		}
	}

	double[] shares() {
		double[] shares = new double[this.flows.length];
		for (int expert = 0; expert < this.copyCounts.length; expert++) {
			int count = this.copyCounts[expert];
			for (int index = 0; index < count; index++) {
				int position = copyPosition(expert, index);
				shares[position] = (this.popularity[expert] > 0) ? this.flows[position] / this.popularity[expert]
						: 1.0 / count;
			}
		}
		return shares;
	}

	TrafficSnapshot traffic() {
		TrafficSnapshot snapshot = new TrafficSnapshot(this.flows.length, this.loads.length);
		saveTraffic(snapshot);
		return snapshot;
	}

	void saveTraffic(TrafficSnapshot snapshot) {
		System.arraycopy(this.flows, 0, snapshot.flows(), 0, this.flows.length);
		System.arraycopy(this.loads, 0, snapshot.loads(), 0, this.loads.length);
	}

	void restoreTraffic(TrafficSnapshot snapshot) {
		System.arraycopy(snapshot.flows(), 0, this.flows, 0, this.flows.length);
		System.arraycopy(snapshot.loads(), 0, this.loads, 0, this.loads.length);
	}

	private void addFlow(int position, double flow) {
		this.flows[position] += flow;
		this.loads[rankOf(position)] += flow;
	}

}
