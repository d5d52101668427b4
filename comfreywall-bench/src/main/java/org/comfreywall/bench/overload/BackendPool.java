package org.comfreywall.bench.overload;

import org.comfreywall.bench.limits.EventQueue;

/**
 * Backend servers that slow down, and lose throughput, when more requests run than they
 * have room for.
 */
final class BackendPool {

	static final int ROOM = 64;

	static final long MEAN_WORK_NANOS = 100_000_000;

	private static final double LOSS = 0.3;

	private final EventQueue events;

	private int running;

	BackendPool(EventQueue events) {
		this.events = events;
	}

	/**
	 * Returns the requests a second that the pool can answer at best.
	 * @return the capacity
	 */
	static double capacity() {
		return ROOM * 1e9 / MEAN_WORK_NANOS;
	}

	void run(SentRequest request, Runnable ended) {
		this.running++;
		double crowding = Math.max(1, (double) this.running / ROOM);
		double slowdown = crowding * (1 + LOSS * (crowding - 1));
		this.events.after((long) (request.work() * slowdown), () -> {
			this.running--;
			ended.run();
		});
	}

}
