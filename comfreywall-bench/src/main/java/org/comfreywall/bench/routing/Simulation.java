package org.comfreywall.bench.routing;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.comfreywall.entry.prefix.CacheEvent;
import org.comfreywall.entry.prefix.CacheSnapshot;
import org.comfreywall.entry.route.LoadReport;

/**
 * Runs arrivals through entry instances with one policy against a pool of workers.
 */
final class Simulation implements WorkerListener {

	static final int ENTRIES = 4;

	static final int WORKERS = 16;

	private static final int DOMAINS = 3;

	private static final long NEAR_NANOS = 100_000;

	private static final long FAR_NANOS = 500_000;

	private static final long REPORT_INTERVAL_NANOS = 250_000_000;

	private static final long LAG_NANOS = 500_000_000;

	private static final double LOSS = 0.05;

	private final List<Arrival> arrivals;

	private final Worker[] workers = new Worker[WORKERS];

	private final EntryPolicy[] policies = new EntryPolicy[ENTRIES];

	private final PriorityQueue<Timed> events = new PriorityQueue<>(
			Comparator.comparingLong(Timed::at).thenComparingLong(Timed::order));

	private final Random losses;

	private final RunResult result;

	private long order;

	private long now;

	private int open;

	private Simulation(List<Arrival> arrivals, PolicyFactory factory, long seed, RunResult result) {
		this.arrivals = arrivals;
		this.losses = new Random(seed);
		this.result = result;
		for (int i = 0; i < WORKERS; i++) {
			this.workers[i] = new Worker(i, 1, this);
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.policies[i] = factory.create(i, WORKERS, new Random(seed + i));
		}
	}

	/**
	 * Runs arrivals.
	 * @param arrivals the arrivals
	 * @param factory creates the policies
	 * @param seed the seed of lost events and of the policies
	 * @param fromNanos the time from which arrivals are measured
	 * @param untilNanos the time at which the run ends; requests without first token then
	 * count with their time so far
	 * @return the measured values
	 */
	static RunResult run(List<Arrival> arrivals, PolicyFactory factory, long seed, long fromNanos, long untilNanos) {
		RunResult result = new RunResult(arrivals.size(), fromNanos, untilNanos);
		new Simulation(arrivals, factory, seed, result).run(untilNanos);
		return result;
	}

	static int domain(int index) {
		return index % DOMAINS;
	}

	static long oneWayNanos(int entry, int domain) {
		return (domain(entry) == domain) ? NEAR_NANOS : FAR_NANOS;
	}

	private void run(long until) {
		this.arrivals.forEach((arrival) -> at(arrival.at(), () -> arrive(arrival)));
		this.open = this.arrivals.size();
		for (int i = 0; i < WORKERS; i++) {
			int worker = i;
			at(REPORT_INTERVAL_NANOS * (i + 1) / WORKERS, () -> report(worker));
		}
		while (this.open > 0 && this.now < until) {
			Timed next = this.events.poll();
			this.now = next.at();
			next.action().run();
		}
		this.result.end(this.arrivals);
	}

	private void arrive(Arrival arrival) {
		int worker = this.policies[arrival.entry()].choose(arrival, this.now);
		at(this.now + oneWayNanos(arrival.entry(), domain(worker)), () -> {
			this.workers[worker].submit(arrival);
			step(worker);
		});
	}

	private void step(int worker) {
		long nanos = this.workers[worker].startStep(this.now);
		if (nanos > 0) {
			at(this.now + nanos, () -> {
				this.workers[worker].endStep(this.now);
				step(worker);
			});
		}
	}

	private void report(int worker) {
		LoadReport report = this.workers[worker].report(this.now);
		at(this.now + LAG_NANOS, () -> {
			for (EntryPolicy policy : this.policies) {
				policy.reported(worker, report, this.now);
			}
		});
		at(this.now + REPORT_INTERVAL_NANOS, () -> report(worker));
	}

	@Override
	public void onFirstToken(int worker, Sequence sequence, long time) {
		Arrival arrival = sequence.arrival();
		long back = oneWayNanos(arrival.entry(), domain(worker));
		this.result.firstToken(arrival, sequence.cachedTokens(), time + back);
		at(time + back, () -> this.policies[arrival.entry()].firstToken(arrival, this.now));
	}

	@Override
	public void onFinished(int worker, Sequence sequence, long time) {
		Arrival arrival = sequence.arrival();
		this.open--;
		this.result.finished(time);
		at(time + oneWayNanos(arrival.entry(), domain(worker)),
				() -> this.policies[arrival.entry()].finished(arrival, worker, this.now));
	}

	@Override
	public void onCacheEvent(int worker, CacheEvent event, long time) {
		for (EntryPolicy policy : this.policies) {
			if (this.losses.nextDouble() >= LOSS) {
				at(time + LAG_NANOS, () -> deliver(worker, policy, event));
			}
		}
	}

	private void deliver(int worker, EntryPolicy policy, CacheEvent event) {
		if (policy.cacheChanged(worker, event, this.now)) {
			CacheSnapshot snapshot = this.workers[worker].snapshot();
			at(this.now + LAG_NANOS, () -> policy.cacheChanged(worker, snapshot, this.now));
		}
	}

	private void at(long time, Runnable action) {
		this.events.add(new Timed(time, this.order++, action));
	}

	private record Timed(long at, long order, Runnable action) {

	}

}
