package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.comfreywall.common.util.Preconditions;

/**
 * Selects the group of ranks in lock-step that a request is sent to.
 * <p>
 * The expected time of a request in a group grows with the requests in flight over the
 * group's capacity, times the group's pace. Addresses a load of some hundred requests a
 * second that 12 to 16 entries distribute over two or three groups by counts that are 200
 * ms old: if each sent to the group with the lowest expected time, all would pick the
 * same one until the next update. Each entry therefore selects a group with the
 * probability that, if all entries do the same, makes the expected times equal within a
 * second (Basic Load Interpretation; M. Dahlin, "Interpreting Stale Load Information",
 * IEEE Transactions on Parallel and Distributed Systems 11(10), 2000). With few requests
 * this is the group with the lowest expected time.
 */
final class GroupSelector {

	/**
	 * Time in which differences in load are made even. Longer than the interval of 200 ms
	 * between updates: if all requests of an interval go to the group with the least
	 * load, they also end together, and the difference returns. As long as a stream is
	 * open.
	 */
	private static final double HORIZON_SECONDS = 1;

	/** Bounds the effect of one long pause or of a wrong report. */
	private static final double MAX_RELATIVE_PACE = 4;

	private final RandomGenerator random;

	/**
	 * Creates a selector.
	 * @param random the source of samples; not used if there is one candidate
	 */
	GroupSelector(RandomGenerator random) {
		this.random = Preconditions.notNull(random, "random");
	}

	/**
	 * Selects a group.
	 * @param candidates the groups that can take the request now
	 * @param othersPerSecond the requests per second that other entries send to them
	 * @return the choice, or empty if {@code candidates} is empty
	 */
	Optional<GroupChoice> select(List<GroupCandidate> candidates, double othersPerSecond) {
		if (candidates.size() <= 1) {
			return candidates.stream().map((only) -> new GroupChoice(0, 1)).findFirst();
		}
		double requests = 1 + othersPerSecond * HORIZON_SECONDS;
		double[] shares = shares(candidates, requests);
		double sample = this.random.nextDouble();
		int last = 0;
		for (int i = 0; i < shares.length; i++) {
			if (shares[i] > 0) {
				last = i;
				sample -= shares[i];
				if (sample < 0) {
					break;
				}
			}
		}
		return Optional.of(new GroupChoice(last, shares[last]));
	}

	// Distributes the requests such that the groups that get any reach the same load,
	// which is below that of the others.
	private static double[] shares(List<GroupCandidate> candidates, double requests) {
		double[] speeds = speeds(candidates);
		int[] byLoad = IntStream.range(0, speeds.length)
			.boxed()
			.sorted(Comparator.comparingDouble((i) -> candidates.get(i).inFlight() / speeds[i]))
			.mapToInt(Integer::intValue)
			.toArray();
		double totalRequests = requests;
		double totalSpeed = 0;
		double level = Double.MAX_VALUE;
		for (int i : byLoad) {
			if (candidates.get(i).inFlight() / speeds[i] >= level) {
				break;
			}
			totalRequests += candidates.get(i).inFlight();
			totalSpeed += speeds[i];
			level = totalRequests / totalSpeed;
		}
		double reached = level;
		return IntStream.range(0, speeds.length)
			.mapToDouble((i) -> Math.max(0, reached * speeds[i] - candidates.get(i).inFlight()) / requests)
			.toArray();
	}

	// Pauses include the effect of slow ranks, so these count only where pauses cannot be
	// compared.
	private static double[] speeds(List<GroupCandidate> candidates) {
		boolean measured = candidates.stream().noneMatch((group) -> group.pause().isZero());
		long shortest = candidates.stream().map(GroupCandidate::pause).mapToLong(Duration::toNanos).min().orElse(0);
		return candidates.stream().mapToDouble((group) -> {
			double pace = measured ? (double) group.pause().toNanos() / shortest : group.slowdown();
			return group.capacity() / Math.min(MAX_RELATIVE_PACE, pace);
		}).toArray();
	}

}
