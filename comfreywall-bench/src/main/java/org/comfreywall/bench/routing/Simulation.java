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
final class Simulation implements WorkerListener {

	static final int ENTRIES = 4;

	static final int WORKERS = 16;

	private static final int FAILURE_DOMAINS = 3;

	private static final long SAME_DOMAIN_DELAY_NANOS = 100_000;

	private static final long CROSS_DOMAIN_DELAY_NANOS = 500_000;

	private static final long REPORT_INTERVAL_NANOS = 250_000_000;

	private static final long REPORT_DELAY_NANOS = 500_000_000;

	private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.05;

	private final List<Arrival> arrivals;

	private final Worker[] servers = new Worker[WORKERS];

	private final EntryPolicy[] policies = new EntryPolicy[ENTRIES];

	private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledEvent::time).thenComparingLong(ScheduledEvent::order));

	private final Random lossRandom;

	private final RunResult result;

	private long nextOrder;

	private long now;

	private int unfinished;

	private Simulation(List<Arrival> arrivals, PolicyFactory factory, long seed, RunResult result) {
		this.arrivals = arrivals;
		this.lossRandom = new Random(seed);
		this.result = result;
		for (int i = 0; i < WORKERS; i++) {
			this.servers[i] = new Worker(i, 1, this);
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.policies[i] = factory.create(i, WORKERS, new Random(seed + i));
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
	static RunResult run(List<Arrival> arrivals, PolicyFactory factory, long seed, long fromNanos, long untilNanos) {
		RunResult result = new RunResult(arrivals.size(), fromNanos, untilNanos);
		new Simulation(arrivals, factory, seed, result).run(untilNanos);
		return result;
	}

	static int domain(int index) {
		return index % FAILURE_DOMAINS;
	}

	static long oneWayNanos(int entry, int domain) {
		return (domain(entry) == domain) ? SAME_DOMAIN_DELAY_NANOS : CROSS_DOMAIN_DELAY_NANOS;
	}

	private void run(long until) {
		this.arrivals.forEach((arrival) -> schedule(arrival.at(), () -> routeArrival(arrival)));
		this.unfinished = this.arrivals.size();
		for (int i = 0; i < WORKERS; i++) {
			int server = i;
			schedule(REPORT_INTERVAL_NANOS * (i + 1) / WORKERS, () -> sendLoadReport(server));
		}
		while (this.unfinished > 0 && this.now < until) {
			ScheduledEvent next = this.events.poll();
			this.now = next.time();
			next.action().run();
		}
		this.result.end(this.arrivals);
	}

	private void routeArrival(Arrival arrival) {
		int server = this.policies[arrival.entry()].choose(arrival, this.now);
		schedule(this.now + oneWayNanos(arrival.entry(), domain(server)), () -> {
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
		LoadReport report = this.servers[server].report(this.now);
		schedule(this.now + REPORT_DELAY_NANOS, () -> {
			for (EntryPolicy policy : this.policies) {
				policy.reported(server, report, this.now);
			}
		});
		schedule(this.now + REPORT_INTERVAL_NANOS, () -> sendLoadReport(server));
	}

	@Override
	public void onFirstToken(int server, Sequence sequence, long time) {
		Arrival arrival = sequence.arrival();
		long delay = oneWayNanos(arrival.entry(), domain(server));
		this.result.firstToken(arrival, sequence.cachedTokens(), time + delay);
		schedule(time + delay, () -> this.policies[arrival.entry()].firstToken(arrival, this.now));
	}

	@Override
	public void onFinished(int server, Sequence sequence, long time) {
		Arrival arrival = sequence.arrival();
		this.unfinished--;
		this.result.finished(time);
		schedule(time + oneWayNanos(arrival.entry(), domain(server)),
				() -> this.policies[arrival.entry()].finished(arrival, server, this.now));
	}

	@Override
	public void onCacheEvent(int server, CacheEvent event, long time) {
		for (EntryPolicy policy : this.policies) {
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
	private void deliverCacheEvent(int server, EntryPolicy policy, CacheEvent event) {
		if (policy.cacheChanged(server, event, this.now)) {
			CacheSnapshot snapshot = this.servers[server].snapshot();
			schedule(this.now + REPORT_DELAY_NANOS, () -> policy.cacheChanged(server, snapshot, this.now));
		}
	}

	private void schedule(long time, Runnable action) {
		this.events.add(new ScheduledEvent(time, this.nextOrder++, action));
	}

	private record ScheduledEvent(long time, long order, Runnable action) {

	}

}
