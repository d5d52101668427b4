package org.comfreywall.group.placement;

import java.util.Arrays;

/**
 * The slots, copies and traffic of one layer while a plan is searched.
 * <p>
 * Traffic of an expert is split over its copies so that the sum over ranks of squared
 * load over speed falls; its minimum also has the smallest greatest rank time.
 */
final class LayerState {

	private static final double TOLERANCE = 1e-4;

	private final GroupShape shape;

	private final int stride;

	private final double[] popularity;

	private final double[] speeds;

	private final int[] experts;

	private final double[] flows;

	private final double[] loads;

	private final int[] copies;

	private final int[] copyCounts;

	private final double[] filled;

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
		this.filled = new double[shape.ranks()];
	}

	static LayerState from(GroupShape shape, Placement placement, int layer, double[] popularity, double[] speeds) {
		LayerState state = new LayerState(shape, popularity, speeds);
		int[] experts = placement.layerExperts(layer);
		double[] shares = placement.layerShares(layer);
		for (int position = 0; position < experts.length; position++) {
			if (experts[position] != Placement.EMPTY && state.isUsable(position)) {
				state.put(position, experts[position]);
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

	// Returns the rank time of a layer that is balanced perfectly.
	double mean() {
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

	int copy(int expert, int index) {
		return this.copies[expert * this.shape.ranks() + index];
	}

	int[] experts() {
		return this.experts.clone();
	}

	double time(int rank) {
		return this.loads[rank] / this.speeds[rank];
	}

	double slowest() {
		double slowest = 0;
		for (int rank = 0; rank < this.loads.length; rank++) {
			slowest = Math.max(slowest, time(rank));
		}
		return slowest;
	}

	// Sums a high power of the rank times, relative to a reference time.
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
			if (rankOf(copy(expert, index)) == rank) {
				return copy(expert, index);
			}
		}
		return -1;
	}

	// Returns a free slot of the rank, or -1.
	int freeSlot(int rank) {
		int from = rank * this.stride;
		for (int position = from; position < from + this.shape.slots(rank); position++) {
			if (this.experts[position] == Placement.EMPTY) {
				return position;
			}
		}
		return -1;
	}

	void put(int position, int expert) {
		this.experts[position] = expert;
		this.copies[expert * this.shape.ranks() + this.copyCounts[expert]] = position;
		this.copyCounts[expert]++;
	}

	void clear(int position) {
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

	// Tells whether an expert would keep its spread if one copy went and another came.
	boolean keepsSpread(int expert, int removed, int addedRank, CopySpread spread) {
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
		int position = copy(expert, index);
		return (position == removed) ? -1 : rankOf(position);
	}

	// Splits an expert's traffic over its copies, given the traffic of all others.
	double split(int expert) {
		int count = this.copyCounts[expert];
		if (count == 0) {
			return 0;
		}
		double level = level(expert, count);
		double change = 0;
		for (int index = 0; index < count; index++) {
			int position = copy(expert, index);
			int rank = rankOf(position);
			double flow = Math.max(0, level * this.speeds[rank] - this.filled[index]);
			change = Math.max(change, Math.abs(flow - this.flows[position]));
			this.loads[rank] += flow - this.flows[position];
			this.flows[position] = flow;
		}
		return change;
	}

	private double level(int expert, int count) {
		double load = this.popularity[expert];
		double speed = 0;
		for (int index = 0; index < count; index++) {
			int position = copy(expert, index);
			this.filled[index] = this.loads[rankOf(position)] - this.flows[position];
			load += this.filled[index];
			speed += this.speeds[rankOf(position)];
		}
		return lowerToActive(expert, count, load, speed);
	}

	// Leaves out copies whose ranks are above the level already.
	private double lowerToActive(int expert, int count, double load, double speed) {
		double level = load / speed;
		boolean[] left = null;
		boolean changed = count > 1;
		while (changed) {
			changed = false;
			for (int index = 0; index < count; index++) {
				double rankSpeed = this.speeds[rankOf(copy(expert, index))];
				if ((left == null || !left[index]) && this.filled[index] > level * rankSpeed) {
					left = (left != null) ? left : new boolean[count];
					left[index] = true;
					load -= this.filled[index];
					speed -= rankSpeed;
					level = load / speed;
					changed = true;
				}
			}
		}
		return level;
	}

	// Splits the traffic of the experts on one rank.
	void splitRank(int rank) {
		int from = rank * this.stride;
		for (int position = from; position < from + this.shape.slots(rank); position++) {
			int expert = this.experts[position];
			if (expert != Placement.EMPTY && this.copyCounts[expert] > 1) {
				split(expert);
			}
		}
	}

	// Splits all traffic, for a number of sweeps or until nothing changes any more.
	void splitAll(int sweeps) {
		double mean = mean();
		for (int sweep = 0; sweep < sweeps; sweep++) {
			double change = 0;
			for (int expert = 0; expert < this.copyCounts.length; expert++) {
				change = Math.max(change, split(expert));
			}
			if (change < TOLERANCE * mean) {
				return;
			}
		}
	}

	double[] shares() {
		double[] shares = new double[this.flows.length];
		for (int expert = 0; expert < this.copyCounts.length; expert++) {
			int count = this.copyCounts[expert];
			for (int index = 0; index < count; index++) {
				int position = copy(expert, index);
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
