package org.comfreywall.gateway.group;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts how often each expert was chosen recently, over all ranks of a group, and
 * detects shifts of the load.
 * <p>
 * The popular experts may change from one pass to the next and then stay the same for
 * seconds. Choices are aggregated in rounds: a round holds the passes that all ranks, or
 * most of them if reports are late, have reported since the previous round. If a round
 * differs from the earlier ones by more than the usual noise, these are discarded, so
 * that one pass after a shift is enough to plan for it.
 */
final class ExpertTraffic {

	/**
	 * Rounds that a forecast rests on. With one round per pass they span somewhat less
	 * than the usual time between shifts.
	 */
	private static final int MAX_ROUNDS = 16;

	/**
	 * Passes kept in an open round while reports of a rank are missing; older ones do not
	 * reflect the present load.
	 */
	private static final int MAX_OPEN_PASSES = 64;

	/** Reports of a pass that have not arrived after this time are late or lost. */
	private static final long ROUND_NANOS = 200_000_000L;

	/**
	 * Added for each count in a report, as ranks with longer lists of counts report less
	 * often.
	 */
	private static final long ROUND_NANOS_PER_COUNT = 200_000L;

	/**
	 * Share of the ranks whose reports complete a round if others are late. Ranks serve
	 * similar requests, so their counts are representative.
	 */
	private static final double QUORUM_SHARE = 0.7;

	/** Initial estimate of the distance between two rounds of the same load. */
	private static final double INITIAL_NOISE = 0.07;

	private static final double NOISE_SMOOTHING = 0.1;

	/** A distance of this many times the usual noise is a shift. */
	private static final double SHIFT_FACTOR = 2.6;

	/** A smaller distance is never a shift: its imbalance costs less than a switch. */
	private static final double MIN_SHIFT_DISTANCE = 0.08;

	/** A larger distance is always a shift, however large the noise is. */
	private static final double MAX_NOISE_DISTANCE = 0.25;

	/**
	 * Share of the mean that is added to each expert, as one that was not chosen recently
	 * may be chosen soon.
	 */
	private static final double FLOOR_SHARE = 0.05;

	private final int sets;

	private final int experts;

	private final NavigableMap<Long, PassChoices> passes = new TreeMap<>();

	private final Map<Integer, Long> lastStepByRank = new HashMap<>();

	private final Deque<double[][]> retainedRounds = new ArrayDeque<>();

	private final long roundNanos;

	private long closedStep = Long.MIN_VALUE;

	private long closedAt = Long.MIN_VALUE / 2;

	private double noise = INITIAL_NOISE;

	private double drift;

	private long completedRounds;

	private long shiftCount;

	/**
	 * Creates an empty record.
	 * @param sets the number of sets of layers
	 * @param experts the number of experts of a set
	 */
	ExpertTraffic(int sets, int experts) {
		this.sets = sets;
		this.experts = experts;
		this.roundNanos = ROUND_NANOS + ROUND_NANOS_PER_COUNT * sets * experts;
	}

	/**
	 * Adds the expert choices of one rank's report.
	 * @param rank the rank
	 * @param ranks the number of ranks
	 * @param step the last pass that the rank had begun when it reported
	 * @param counts the choices of each expert since the rank's previous counts, set by
	 * set; empty if they were not read
	 * @param now the present time in nanoseconds
	 */
	void add(int rank, int ranks, long step, List<Integer> counts, long now) {
		if (counts.size() != this.sets * this.experts || step <= this.closedStep) {
			return;
		}
		PassChoices pass = this.passes.computeIfAbsent(step,
				(begun) -> new PassChoices(new double[this.sets][this.experts], new HashSet<>()));
		pass.add(rank, counts, this.experts);
		if (this.passes.size() > MAX_OPEN_PASSES) {
			this.passes.pollFirstEntry();
		}
		this.lastStepByRank.put(rank, step);
		boolean late = now - this.closedAt > this.roundNanos;
		closeRound(late ? (int) Math.ceil(QUORUM_SHARE * ranks) : ranks, now);
	}

	// A round ends with the last pass that enough ranks have reported.
	private void closeRound(int ranks, long now) {
		if (this.lastStepByRank.size() < ranks) {
			return;
		}
		long complete = this.lastStepByRank.values().stream().sorted(Comparator.reverseOrder()).toList().get(ranks - 1);
		NavigableMap<Long, PassChoices> closing = this.passes.headMap(complete, true);
		Set<Integer> reporters = new HashSet<>();
		closing.values().forEach((pass) -> reporters.addAll(pass.ranks()));
		if (reporters.size() < ranks) {
			return;
		}
		double[][] round = new double[this.sets][this.experts];
		closing.values().forEach((pass) -> add(round, pass.chosen()));
		closing.clear();
		this.closedStep = complete;
		this.closedAt = now;
		addRound(round);
	}

	private void addRound(double[][] round) {
		if (total(round) == 0) {
			return;
		}
		this.drift = this.retainedRounds.isEmpty() ? 0 : distance(round, sum());
		if (this.drift > Math.min(MAX_NOISE_DISTANCE, Math.max(MIN_SHIFT_DISTANCE, SHIFT_FACTOR * this.noise))) {
			this.retainedRounds.clear();
			this.shiftCount++;
		}
		else if (!this.retainedRounds.isEmpty()) {
			this.noise += NOISE_SMOOTHING * (this.drift - this.noise);
		}
		this.retainedRounds.addLast(round);
		if (this.retainedRounds.size() > MAX_ROUNDS) {
			this.retainedRounds.removeFirst();
		}
		this.completedRounds++;
	}

	/**
	 * Returns the number of rounds completed so far.
	 * @return the count; the forecast changes only when it does
	 */
	long completedRounds() {
		return this.completedRounds;
	}

	/**
	 * Returns the number of rounds that the forecast rests on.
	 * @return the count of rounds since the last shift, up to a maximum
	 */
	int retainedRounds() {
		return this.retainedRounds.size();
	}

	/**
	 * Returns the number of shifts detected so far.
	 * @return the count
	 */
	long shiftCount() {
		return this.shiftCount;
	}

	/**
	 * Returns the expected choices of the next second.
	 * @return the forecast
	 */
	TrafficForecast forecast() {
		double[][] chosen = sum();
		double total = total(chosen);
		for (double[] set : chosen) {
			for (int expert = 0; expert < set.length; expert++) {
				set[expert] += FLOOR_SHARE * total / this.experts;
			}
		}
		return new TrafficForecast(chosen, total, this.drift, this.retainedRounds.size());
	}

	private double[][] sum() {
		double[][] sum = new double[this.sets][this.experts];
		this.retainedRounds.forEach((round) -> add(sum, round));
		return sum;
	}

	private static void add(double[][] sum, double[][] chosen) {
		for (int set = 0; set < sum.length; set++) {
			for (int expert = 0; expert < sum[set].length; expert++) {
				sum[set][expert] += chosen[set][expert];
			}
		}
	}

	private static double total(double[][] chosen) {
		double sum = 0;
		for (double count : chosen[0]) {
			sum += count;
		}
		return sum;
	}

	// Total variation distance between the shares, 0 if they are equal and 1 if disjoint.
	private static double distance(double[][] one, double[][] other) {
		double oneTotal = total(one);
		double otherTotal = total(other);
		double sum = 0;
		for (int set = 0; set < one.length; set++) {
			for (int expert = 0; expert < one[set].length; expert++) {
				sum += Math.abs(one[set][expert] / oneTotal - other[set][expert] / otherTotal);
			}
		}
		return sum / 2 / one.length;
	}

	/**
	 * The choices of one pass, with the ranks that reported them.
	 */
	private record PassChoices(double[][] chosen, Set<Integer> ranks) {

		void add(int rank, List<Integer> counts, int experts) {
			this.ranks.add(rank);
			for (int i = 0; i < counts.size(); i++) {
				this.chosen[i / experts][i % experts] += counts.get(i);
			}
		}

	}

}
