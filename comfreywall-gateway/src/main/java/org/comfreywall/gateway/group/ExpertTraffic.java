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
 * seconds. Choices are aggregated in rounds: a round sums the choices in the passes that
 * all ranks, or most of them if reports are late, have reported since the previous round.
 * If a round differs from the earlier ones by more than the usual noise, the load has
 * shifted and the earlier rounds are discarded. So the first round after a shift, which
 * may be a single pass, is enough to plan for it.
 */
final class ExpertTraffic {

	/**
	 * Maximum number of rounds that are retained for a forecast. With one round per pass
	 * they span somewhat less than the usual time between shifts.
	 */
	private static final int MAX_ROUNDS = 16;

	/**
	 * Maximum number of passes in a round that is not complete because reports of a rank
	 * are missing. Older passes are dropped, as they do not reflect the current load.
	 */
	private static final int MAX_OPEN_PASSES = 64;

	/**
	 * Time since the last round after which missing reports are considered late or lost,
	 * and a quorum of the ranks completes the next round.
	 */
	private static final long ROUND_TIMEOUT_NANOS = 200_000_000L;

	/**
	 * Time added to the timeout for each count in a report, as ranks with longer lists of
	 * counts report them less often.
	 */
	private static final long ROUND_TIMEOUT_NANOS_PER_COUNT = 200_000L;

	/**
	 * Share of the ranks whose reports complete a round if others are late. Ranks serve
	 * similar requests, so their counts are representative.
	 */
	private static final double QUORUM_SHARE = 0.7;

	/** Initial estimate of the noise: the distance between rounds of the same load. */
	private static final double INITIAL_NOISE = 0.07;

	private static final double NOISE_SMOOTHING = 0.1;

	/** A distance above this many times the usual noise is a shift. */
	private static final double SHIFT_FACTOR = 2.6;

	/** A smaller distance is never a shift: its imbalance costs less than a switch. */
	private static final double MIN_SHIFT_DISTANCE = 0.08;

	/** A larger distance is always a shift, however large the noise is. */
	private static final double MAX_NOISE_DISTANCE = 0.25;

	/**
	 * Share of the mean choices per expert that the forecast adds to each expert, as one
	 * that was not chosen recently may be chosen soon.
	 */
	private static final double FLOOR_SHARE = 0.05;

	private final int sets;

	private final int experts;

	private final NavigableMap<Long, PassChoices> passes = new TreeMap<>();

	private final Map<Integer, Long> lastPassByRank = new HashMap<>();

	private final Deque<double[][]> retainedRounds = new ArrayDeque<>();

	private final long roundTimeoutNanos;

	private long lastClosedPass = Long.MIN_VALUE;

	private long roundClosedAt = Long.MIN_VALUE / 2;

	private double noise = INITIAL_NOISE;

	private double drift;

	private long completedRounds;

	private long shiftCount;

	/**
	 * Creates an instance without any choices.
	 * @param sets the number of sets of layers
	 * @param experts the number of experts of a set
	 */
	ExpertTraffic(int sets, int experts) {
		this.sets = sets;
		this.experts = experts;
		this.roundTimeoutNanos = ROUND_TIMEOUT_NANOS + ROUND_TIMEOUT_NANOS_PER_COUNT * sets * experts;
	}

	/**
	 * Adds the expert choices of one rank's report. They are ignored if the pass belongs
	 * to a round that is already complete.
	 * @param rank the rank
	 * @param ranks the number of ranks of the group
	 * @param pass the last pass that the rank had begun when it reported
	 * @param counts the number of choices of each expert since the rank's previous
	 * counts, set by set; ignored if empty, which means that they were not read
	 * @param now the current time in nanoseconds
	 */
	void addReport(int rank, int ranks, long pass, List<Integer> counts, long now) {
		if (counts.size() != this.sets * this.experts || pass <= this.lastClosedPass) {
			return;
		}
		PassChoices choices = this.passes.computeIfAbsent(pass,
				(begun) -> new PassChoices(new double[this.sets][this.experts], new HashSet<>()));
		choices.add(rank, counts, this.experts);
		if (this.passes.size() > MAX_OPEN_PASSES) {
			this.passes.pollFirstEntry();
		}
		this.lastPassByRank.put(rank, pass);
		boolean late = now - this.roundClosedAt > this.roundTimeoutNanos;
		closeRound(late ? (int) Math.ceil(QUORUM_SHARE * ranks) : ranks, now);
	}

	// Completes a round if enough ranks have reported. It ends with the last pass that
	// the required number of ranks have reached.
	private void closeRound(int requiredRanks, long now) {
		if (this.lastPassByRank.size() < requiredRanks) {
			return;
		}
		long lastPass = this.lastPassByRank.values()
			.stream()
			.sorted(Comparator.reverseOrder())
			.toList()
			.get(requiredRanks - 1);
		NavigableMap<Long, PassChoices> closing = this.passes.headMap(lastPass, true);
		Set<Integer> reporters = new HashSet<>();
		closing.values().forEach((pass) -> reporters.addAll(pass.reporters()));
		if (reporters.size() < requiredRanks) {
			return;
		}
		double[][] round = new double[this.sets][this.experts];
		closing.values().forEach((pass) -> addCounts(round, pass.counts()));
		closing.clear();
		this.lastClosedPass = lastPass;
		this.roundClosedAt = now;
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
	 * Returns the number of rounds that the forecast is based on.
	 * @return the number of rounds since the last shift, up to a maximum
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
	 * Forecasts how the choices of the next second are distributed over the experts.
	 * @return the choices in the retained rounds, with a minimum for each expert
	 */
	TrafficForecast forecast() {
		double[][] counts = sum();
		double total = total(counts);
		for (double[] set : counts) {
			for (int expert = 0; expert < set.length; expert++) {
				set[expert] += FLOOR_SHARE * total / this.experts;
			}
		}
		return new TrafficForecast(counts, total, this.drift, this.retainedRounds.size());
	}

	private double[][] sum() {
		double[][] sum = new double[this.sets][this.experts];
		this.retainedRounds.forEach((round) -> addCounts(sum, round));
		return sum;
	}

	private static void addCounts(double[][] sum, double[][] counts) {
		for (int set = 0; set < sum.length; set++) {
			for (int expert = 0; expert < sum[set].length; expert++) {
				sum[set][expert] += counts[set][expert];
			}
		}
	}

	// Returns the number of choices in the first set.
	private static double total(double[][] counts) {
		double sum = 0;
		for (double count : counts[0]) {
			sum += count;
		}
		return sum;
	}

	// Total variation distance between the experts' shares of the choices, averaged over
	// the sets: 0 if the shares are equal, and 1 if no expert was chosen in both.
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
	 * The number of choices in one pass, by set and expert, and the ranks that reported.
	 */
	private record PassChoices(double[][] counts, Set<Integer> reporters) {

		void add(int rank, List<Integer> counts, int experts) {
			this.reporters.add(rank);
			for (int i = 0; i < counts.size(); i++) {
				this.counts[i / experts][i % experts] += counts.get(i);
			}
		}

	}

}
