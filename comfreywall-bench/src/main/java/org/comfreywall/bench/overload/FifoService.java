package org.comfreywall.bench.overload;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The baseline without admission control: one unbounded FIFO queue without load shedding.
 */
final class FifoService implements ServiceUnderLoad {

	private final BackendPool pool;

	private final CallerSide listener;

	private final Deque<SentRequest> queue = new ArrayDeque<>();

	private int running;

	FifoService(BackendPool pool, CallerSide listener) {
		this.pool = pool;
		this.listener = listener;
	}

	@Override
	public void send(SentRequest attempt) {
		this.queue.addLast(attempt);
		startNext();
	}

	private void startNext() {
		if (this.running >= BackendPool.ROOM || this.queue.isEmpty()) {
			return;
		}
		this.running++;
		SentRequest attempt = this.queue.removeFirst();
		this.pool.run(attempt, () -> {
			this.running--;
			this.listener.answered(attempt);
			startNext();
		});
	}

}
