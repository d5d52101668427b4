package org.comfreywall.bench.overload;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The baseline without admission control: one unbounded FIFO queue without load shedding.
 */
final class FifoService implements ServiceUnderLoad {

	private final BackendServerPool pool;

	private final AttemptListener listener;

	private final Deque<ClientAttempt> queue = new ArrayDeque<>();

	private int running;

	FifoService(BackendServerPool pool, AttemptListener listener) {
		this.pool = pool;
		this.listener = listener;
	}

	@Override
	public void submit(ClientAttempt attempt) {
		this.queue.addLast(attempt);
		startNext();
	}

	private void startNext() {
		if (this.running >= BackendServerPool.CONCURRENCY_AT_CAPACITY || this.queue.isEmpty()) {
			return;
		}
		this.running++;
		ClientAttempt attempt = this.queue.removeFirst();
		this.pool.run(attempt, () -> {
			this.running--;
			this.listener.onAnswered(attempt);
			startNext();
		});
	}

}
