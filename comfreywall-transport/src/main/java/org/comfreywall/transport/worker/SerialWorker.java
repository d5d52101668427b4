package org.comfreywall.transport.worker;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.util.Preconditions;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A thread that runs the tasks of one duty in order, fed by a bounded ring.
 */
public final class SerialWorker implements Executor, AutoCloseable {

	private static final EventLog LOG = EventLog.of(SerialWorker.class);

	private static final long CLOSE_MILLIS = 2000;

	private final String name;

	private final MpscBlockingConsumerArrayQueue<Runnable> ring;

	private final ScheduledExecutorService timer;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Creates and starts a worker.
	 * @param name the thread's name
	 * @param capacity the number of tasks that may wait, at least 2
	 */
	public SerialWorker(String name, int capacity) {
		this.name = Preconditions.notBlank(name, "name");
		Preconditions.check(capacity >= 2, "capacity must be at least 2: %d", capacity);
		this.ring = new MpscBlockingConsumerArrayQueue<>(capacity);
		this.timer = createTimer(name);
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Hands over a task unless the ring is full.
	 * @param task the task
	 * @return {@code false} if the ring is full or the worker closed
	 */
	public boolean offer(Runnable task) {
		return !this.closed && this.ring.offer(Preconditions.notNull(task, "task"));
	}

	/**
	 * Hands over a task.
	 * @param task the task
	 * @throws RejectedExecutionException if the ring is full or the worker closed
	 */
	@Override
	public void execute(Runnable task) {
		if (!offer(task)) {
			throw new RejectedExecutionException(this.name + " takes no more tasks");
		}
	}

	/**
	 * Runs a task on this worker at regular intervals; a run is left out while the ring
	 * is full.
	 * @param task the task
	 * @param interval the time between runs
	 * @return cancels further runs
	 */
	public ScheduledFuture<?> every(Duration interval, Runnable task) {
		long nanos = interval.toNanos();
		return this.timer.scheduleAtFixedRate(() -> offer(task), nanos, nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Runs a task on this worker once after a delay.
	 * @param delay the delay
	 * @param task the task
	 * @return cancels the run
	 */
	public ScheduledFuture<?> after(Duration delay, Runnable task) {
		Runnable handOver = () -> offer(task);
		return this.timer.schedule(handOver, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Runs the tasks that wait and ends the thread.
	 */
	@Override
	public void close() {
		this.timer.shutdownNow();
		this.ring.offer(() -> this.closed = true);
		try {
			this.thread.join(CLOSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (this.thread.isAlive()) {
			this.closed = true;
			this.thread.interrupt();
		}
	}

	private void run() {
		while (!this.closed) {
			try {
				this.ring.take().run();
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				LOG.error("task-failed", Field.of("worker", this.name), Field.of("error", ex));
			}
		}
	}

	private static ScheduledExecutorService createTimer(String name) {
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name + "-timer");
			thread.setDaemon(true);
			return thread;
		});
		timer.setRemoveOnCancelPolicy(true);
		return timer;
	}

}
