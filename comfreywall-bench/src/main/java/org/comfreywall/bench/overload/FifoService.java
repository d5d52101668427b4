package org.comfreywall.bench.overload;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The baseline without admission control: one unbounded FIFO queue without load shedding.
 */
final class FifoService implements ServiceUnderLoad {

	private final BackendPool pool;

	private final CallerSide callers;

	private final Deque<SentRequest> queue = new ArrayDeque<>();

	private int running;

	FifoService(BackendPool pool, CallerSide callers) {
		this.pool = pool;
		this.callers = callers;
	}

	@Override
	public void send(SentRequest request) {
		this.queue.addLast(request);
		startNext();
	}

	private void startNext() {
		if (this.running >= BackendPool.ROOM || this.queue.isEmpty()) {
			return;
		}
		this.running++;
		SentRequest request = this.queue.removeFirst();
		this.pool.run(request, () -> {
			this.running--;
			this.callers.answered(request);
			startNext();
		});
	}

}
