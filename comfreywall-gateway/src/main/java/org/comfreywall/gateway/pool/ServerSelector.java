package org.comfreywall.gateway.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.comfreywall.common.util.Preconditions;

/**
 * Selects a backend server with free slots by power of k random choices.
 * <p>
 * Several entries share the servers, and the counts received from the other entries are a
 * few hundred milliseconds old. If every entry sent to the least loaded server, all would
 * pick the same one until the next update. Each entry therefore compares only a few
 * randomly sampled servers; the higher the request rate of the others, the smaller the
 * sample. Servers that fail, respond slowly or slow down their group are sampled only if
 * there are no healthy ones.
 */
final class ServerSelector {

	/**
	 * Maximum random jitter in the cost, in requests. It lets entries with the same
	 * outdated counts select different servers.
	 */
	private static final double JITTER_REQUESTS = 0.6;

	/** Interval at which entries broadcast their counts. */
	private static final double UPDATE_INTERVAL_SECONDS = 0.2;

	/**
	 * Servers whose cost per request exceeds the lowest by this factor are not sampled.
	 */
	private static final double MAX_RELATIVE_COST = 2;

	/**
	 * Minimum number of servers to compare. Two choices are much better than one; a third
	 * adds little.
	 */
	private static final int MIN_SAMPLE_SIZE = 2;

	/**
	 * Minimum number of servers to compare by work. The cost is finer than a count of
	 * requests, and in part known to this entry only, so that entries differ more in
	 * their choice. In simulation, six led to herding again.
	 */
	private static final int MIN_WORK_SAMPLE_SIZE = 4;

	/**
	 * Cost of another failure domain, in requests; a network hop costs less than one more
	 * request in the batch.
	 */
	private static final double OTHER_DOMAIN_REQUESTS = 0.2;

	/**
	 * Cost of another failure domain in the choice by work; about one way there and back.
	 */
	private static final double OTHER_DOMAIN_NANOS = 2_000_000;

	/**
	 * Maximum random jitter in the choice by work, about the time of a request in decode
	 * in the steps of half a pass. It lets entries that see the same counts differ.
	 */
	private static final double JITTER_NANOS = 4_000_000;

	/** Cost added to a server whose requests all fail, in multiples of its cost. */
	private static final double ERROR_PENALTY = 6;

	/**
	 * Requests on a slow rank lengthen every forward pass of its group, so the rank gets
	 * far fewer than in proportion to its speed.
	 */
	private static final double SLOWDOWN_EXPONENT = 3;

	/** Bounds the effect of an outlier in latency. */
	private static final double MAX_RELATIVE_LATENCY = 8;

	private final String domain;

	private final RandomGenerator random;

	/**
	 * Creates a selector.
	 * @param domain the failure domain of this entry
	 * @param random the source of samples and jitter
	 */
	ServerSelector(String domain, RandomGenerator random) {
		this.domain = Preconditions.notNull(domain, "domain");
		this.random = Preconditions.notNull(random, "random");
	}

	/**
	 * Selects a server.
	 * @param free the servers with free slots
	 * @param othersPerSecond the requests per second that other entries send to them
	 * @return a server, or empty if {@code free} is empty
	 */
	Optional<PoolServer> select(List<PoolServer> free, double othersPerSecond) {
		double lowestLatency = lowestLatencyNanos(free);
		return sample(free, lowestLatency, othersPerSecond, MIN_SAMPLE_SIZE).stream()
			.map((server) -> new Candidate(server, cost(server, lowestLatency)))
			.min(Comparator.comparingDouble(Candidate::cost))
			.map(Candidate::server);
	}

	private static double lowestLatencyNanos(List<PoolServer> free) {
		return free.stream().mapToDouble(PoolServer::latencyNanos).filter((nanos) -> nanos > 0).min().orElse(1);
	}

	/**
	 * Selects a server by the work in flight.
	 * @param free the servers with free slots
	 * @param othersPerSecond the requests per second that other entries send to them
	 * @param cost the cost of the request on a server in nanoseconds
	 * @return a server, or empty if {@code free} is empty
	 */
	Optional<PoolServer> selectByWork(List<PoolServer> free, double othersPerSecond,
			ToDoubleFunction<PoolServer> cost) {
		double lowestLatency = lowestLatencyNanos(free);
		return sample(free, lowestLatency, othersPerSecond, MIN_WORK_SAMPLE_SIZE).stream()
			.map((server) -> new Candidate(server, workCost(server, lowestLatency, cost)))
			.min(Comparator.comparingDouble(Candidate::cost))
			.map(Candidate::server);
	}

	private double workCost(PoolServer server, double lowestLatencyNanos, ToDoubleFunction<PoolServer> cost) {
		double distance = server.announcement().domain().equals(this.domain) ? 0 : OTHER_DOMAIN_NANOS;
		double jitter = JITTER_NANOS * this.random.nextDouble();
		return (cost.applyAsDouble(server) + distance + jitter) * costPerRequest(server, lowestLatencyNanos);
	}

	// All entries see the same least loaded servers until the next update. The sample
	// shrinks with the number of requests that others place in the meantime.
	private List<PoolServer> sample(List<PoolServer> free, double lowestLatencyNanos, double othersPerSecond,
			int minSize) {
		double placedByOthers = othersPerSecond * UPDATE_INTERVAL_SECONDS;
		int size = (int) Math.max(minSize, Math.round(free.size() / Math.max(1, placedByOthers)));
		if (size >= free.size()) {
			return free;
		}
		double least = free.stream()
			.mapToDouble((server) -> costPerRequest(server, lowestLatencyNanos))
			.min()
			.orElse(1);
		List<PoolServer> similar = new ArrayList<>(free.stream()
			.filter((server) -> costPerRequest(server, lowestLatencyNanos) <= MAX_RELATIVE_COST * least)
			.toList());
		int sampled = Math.min(size, similar.size());
		for (int i = 0; i < sampled; i++) {
			Collections.swap(similar, i, i + this.random.nextInt(similar.size() - i));
		}
		return similar.subList(0, sampled);
	}

	private double cost(PoolServer server, double lowestLatencyNanos) {
		double distance = server.announcement().domain().equals(this.domain) ? 0 : OTHER_DOMAIN_REQUESTS;
		double requests = 1 + server.totalInFlight() + distance + JITTER_REQUESTS * this.random.nextDouble();
		return requests * costPerRequest(server, lowestLatencyNanos);
	}

	// Cost of one request on this server, relative to a healthy server.
	private double costPerRequest(PoolServer server, double lowestLatencyNanos) {
		double relativeLatency = Math.min(MAX_RELATIVE_LATENCY,
				Math.max(1, server.latencyNanos() / lowestLatencyNanos));
		return Math.sqrt(relativeLatency) * (1 + ERROR_PENALTY * server.errorRate())
				* Math.pow(server.slowdown(), SLOWDOWN_EXPONENT);
	}

	private record Candidate(PoolServer server, double cost) {
	}

}
