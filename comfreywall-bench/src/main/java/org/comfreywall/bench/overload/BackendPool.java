package org.comfreywall.bench.overload;

import org.comfreywall.bench.limits.EventQueue;

/**
 * Simulates a pool of backend servers. Above {@value #ROOM} concurrent requests each
 * request becomes slower, and the throughput of the pool falls.
 */
final class BackendPool {

	static final int ROOM = 64;

	static final long MEAN_WORK_NANOS = 100_000_000;

	private static final double OVERLOAD_PENALTY = 0.3;

	private final EventQueue events;

	private int running;

	BackendPool(EventQueue events) {
		this.events = events;
	}

	/**
	 * Returns the highest throughput of the pool.
	 * @return the capacity in requests per second
	 */
	static double capacity() {
		return ROOM * 1e9 / MEAN_WORK_NANOS;
	}

	/**
	 * Runs an attempt.
	 * @param attempt the attempt
	 * @param ended the action to run at its end
	 */
	void run(SentRequest attempt, Runnable ended) {
		this.running++;
		double oversubscription = Math.max(1, (double) this.running / ROOM);
		double slowdown = oversubscription * (1 + OVERLOAD_PENALTY * (oversubscription - 1));
		this.events.after((long) (attempt.work() * slowdown), () -> {
			this.running--;
			ended.run();
		});
	}

}
