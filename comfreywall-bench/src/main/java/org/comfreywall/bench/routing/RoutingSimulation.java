package org.comfreywall.bench.routing;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.comfreywall.entry.prefix.CacheEvent;
import org.comfreywall.entry.prefix.CacheSnapshot;
import org.comfreywall.entry.route.LoadReport;

/**
 * Simulates entry instances that route requests with one policy to a pool of backend
 * servers, in virtual time.
 */
final class RoutingSimulation implements ServerListener {

	static final int ENTRIES = 4;

	static final int SERVERS = 16;

	private static final int FAILURE_DOMAINS = 3;

	private static final long SAME_DOMAIN_DELAY_NANOS = 100_000;

	private static final long CROSS_DOMAIN_DELAY_NANOS = 500_000;

	private static final long REPORT_INTERVAL_NANOS = 250_000_000;

	private static final long REPORT_DELAY_NANOS = 500_000_000;

	private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.05;

	private final List<Arrival> arrivals;

	private final SimulatedServer[] servers = new SimulatedServer[SERVERS];

	private final LoadBalancingPolicy[] policies = new LoadBalancingPolicy[ENTRIES];

	private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledEvent::time).thenComparingLong(ScheduledEvent::order));

	private final Random lossRandom;

	private final SimulationResult result;

	private long nextOrder;

	private long now;

	private int unfinished;

	private RoutingSimulation(List<Arrival> arrivals, PolicyFactory factory, long seed, SimulationResult result) {
		this.arrivals = arrivals;
		this.lossRandom = new Random(seed);
		this.result = result;
		for (int i = 0; i < SERVERS; i++) {
			this.servers[i] = new SimulatedServer(i, 1, this);
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.policies[i] = factory.create(i, SERVERS, new Random(seed + i));
		}
	}

	/**
	 * Runs a simulation.
	 * @param arrivals the requests in order of arrival
	 * @param factory creates the policy of each entry instance
	 * @param seed the seed of the policies and of the loss of cache events
	 * @param fromNanos the time in nanoseconds from which on arrivals are measured
	 * @param untilNanos the time in nanoseconds at which the simulation ends; a request
	 * that has no first token by then counts with its waiting time up to the end
	 * @return the measured values
	 */
	static SimulationResult run(List<Arrival> arrivals, PolicyFactory factory, long seed, long fromNanos,
			long untilNanos) {
		SimulationResult result = new SimulationResult(arrivals.size(), fromNanos, untilNanos);
		new RoutingSimulation(arrivals, factory, seed, result).run(untilNanos);
		return result;
	}

	static int domainOf(int index) {
		return index % FAILURE_DOMAINS;
	}

	static long oneWayDelayNanos(int entry, int domain) {
		return (domainOf(entry) == domain) ? SAME_DOMAIN_DELAY_NANOS : CROSS_DOMAIN_DELAY_NANOS;
	}

	private void run(long until) {
		this.arrivals.forEach((arrival) -> schedule(arrival.arrivalNanos(), () -> routeArrival(arrival)));
		this.unfinished = this.arrivals.size();
		for (int i = 0; i < SERVERS; i++) {
			int server = i;
			schedule(REPORT_INTERVAL_NANOS * (i + 1) / SERVERS, () -> sendLoadReport(server));
		}
		while (this.unfinished > 0 && this.now < until) {
			ScheduledEvent next = this.events.poll();
			this.now = next.time();
			next.action().run();
		}
		this.result.collectLatencies(this.arrivals);
	}

	private void routeArrival(Arrival arrival) {
		int server = this.policies[arrival.entry()].choose(arrival, this.now);
		schedule(this.now + oneWayDelayNanos(arrival.entry(), domainOf(server)), () -> {
			this.servers[server].submit(arrival);
			runNextStep(server);
		});
	}

	private void runNextStep(int server) {
		long nanos = this.servers[server].startStep(this.now);
		if (nanos > 0) {
			schedule(this.now + nanos, () -> {
				this.servers[server].endStep(this.now);
				runNextStep(server);
			});
		}
	}

	private void sendLoadReport(int server) {
		LoadReport report = this.servers[server].createLoadReport(this.now);
		schedule(this.now + REPORT_DELAY_NANOS, () -> {
			for (LoadBalancingPolicy policy : this.policies) {
				policy.onLoadReport(server, report, this.now);
			}
		});
		schedule(this.now + REPORT_INTERVAL_NANOS, () -> sendLoadReport(server));
	}

	@Override
	public void onFirstToken(int server, Sequence sequence, long time) {
		Arrival arrival = sequence.arrival();
		long delay = oneWayDelayNanos(arrival.entry(), domainOf(server));
		this.result.recordFirstToken(arrival, sequence.cachedTokens(), time + delay);
		schedule(time + delay, () -> this.policies[arrival.entry()].onFirstToken(arrival, this.now));
	}

	@Override
	public void onFinished(int server, Sequence sequence, long time) {
		Arrival arrival = sequence.arrival();
		this.unfinished--;
		this.result.recordFinished(time);
		schedule(time + oneWayDelayNanos(arrival.entry(), domainOf(server)),
				() -> this.policies[arrival.entry()].onFinished(arrival, server, this.now));
	}

	@Override
	public void onCacheEvent(int server, CacheEvent event, long time) {
		for (LoadBalancingPolicy policy : this.policies) {
			if (this.lossRandom.nextDouble() >= CACHE_EVENT_LOSS_PROBABILITY) {
				schedule(time + REPORT_DELAY_NANOS, () -> deliverCacheEvent(server, policy, event));
			}
		}
	}

	/**
	 * Delivers a cache event to a policy. If the policy requests a snapshot, as after a
	 * lost event, the snapshot arrives after the usual delay and is not lost.
	 * @param server the index of the backend server
	 * @param policy the policy
	 * @param event the event
	 */
	private void deliverCacheEvent(int server, LoadBalancingPolicy policy, CacheEvent event) {
		if (policy.onCacheEvent(server, event, this.now)) {
			CacheSnapshot snapshot = this.servers[server].snapshot();
			schedule(this.now + REPORT_DELAY_NANOS, () -> policy.onCacheEvent(server, snapshot, this.now));
		}
	}

	private void schedule(long time, Runnable action) {
		this.events.add(new ScheduledEvent(time, this.nextOrder++, action));
	}

	private record ScheduledEvent(long time, long order, Runnable action) {

	}

}
