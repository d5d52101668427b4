package org.comfreywall.bench.overload;

import org.comfreywall.bench.limits.EventQueue;

/**
 * Simulates a pool of backend servers. Above {@value #CONCURRENCY_AT_CAPACITY} concurrent
 * requests each request becomes slower, and the throughput of the pool falls.
 */
final class BackendServerPool {

	static final int CONCURRENCY_AT_CAPACITY = 64;

	static final long MEAN_WORK_NANOS = 100_000_000;

	private static final double OVERLOAD_PENALTY = 0.3;

	private final EventQueue events;

	private int running;

	BackendServerPool(EventQueue events) {
		this.events = events;
	}

	/**
	 * Returns the highest throughput of the pool.
	 * @return the capacity in requests per second
	 */
	static double capacity() {
		return CONCURRENCY_AT_CAPACITY * 1e9 / MEAN_WORK_NANOS;
	}

	/**
	 * Runs an attempt.
	 * @param attempt the attempt
	 * @param ended the action to run at its end
	 */
	void run(ClientAttempt attempt, Runnable ended) {
		this.running++;
		double oversubscription = Math.max(1, (double) this.running / CONCURRENCY_AT_CAPACITY);
		double slowdown = oversubscription * (1 + OVERLOAD_PENALTY * (oversubscription - 1));
		this.events.scheduleAfter((long) (attempt.workNanos() * slowdown), () -> {
			this.running--;
			ended.run();
		});
	}

}
