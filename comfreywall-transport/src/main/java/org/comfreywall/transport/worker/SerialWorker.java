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
 * A single-threaded executor that runs tasks in submission order from a bounded queue.
 */
public final class SerialWorker implements Executor, AutoCloseable {

	private static final EventLog LOG = EventLog.of(SerialWorker.class);

	private static final long CLOSE_TIMEOUT_MILLIS = 2000;

	private static final long FULL_QUEUE_DELAY_MILLIS = 5;

	private final String name;

	private final MpscBlockingConsumerArrayQueue<Runnable> queue;

	private final ScheduledExecutorService timer;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Creates and starts a worker.
	 * @param name the thread's name
	 * @param capacity the greatest number of queued tasks, at least 2
	 */
	public SerialWorker(String name, int capacity) {
		this.name = Preconditions.notBlank(name, "name");
		Preconditions.check(capacity >= 2, "capacity must be at least 2: %d", capacity);
		this.queue = new MpscBlockingConsumerArrayQueue<>(capacity);
		this.timer = createTimer(name);
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Queues a task unless the queue is full.
	 * @param task the task
	 * @return {@code false} if the queue is full or the worker is closed
	 */
	public boolean offer(Runnable task) {
		return !this.closed && this.queue.offer(Preconditions.notNull(task, "task"));
	}

	/**
	 * Queues a task.
	 * @param task the task
	 * @throws RejectedExecutionException if the queue is full or the worker is closed
	 */
	@Override
	public void execute(Runnable task) {
		if (!offer(task)) {
			throw new RejectedExecutionException(this.name + " rejected a task: its queue is full or it is closed");
		}
	}

	/**
	 * Queues a task as soon as the queue has room. For tasks that must not be lost; they
	 * may be overtaken by tasks that are queued later.
	 * @param task the task
	 */
	public void executeEventually(Runnable task) {
		if (!offer(task) && !this.closed) {
			try {
				this.timer.schedule(() -> executeEventually(task), FULL_QUEUE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
			catch (RejectedExecutionException ex) {
				LOG.debug("task-dropped", Field.of("worker", this.name), Field.of("reason", "closed"));
			}
		}
	}

	/**
	 * Runs a task on this worker at a fixed rate; a run is skipped if the queue is full.
	 * @param interval the time between runs
	 * @param task the task
	 * @return a future that cancels further runs
	 */
	public ScheduledFuture<?> scheduleAtFixedRate(Duration interval, Runnable task) {
		long nanos = interval.toNanos();
		return this.timer.scheduleAtFixedRate(() -> offer(task), nanos, nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Runs a task on this worker once after a delay, and as soon as the queue has room.
	 * @param delay the delay
	 * @param task the task
	 * @return a future that cancels the run
	 */
	public ScheduledFuture<?> schedule(Duration delay, Runnable task) {
		return this.timer.schedule(() -> executeEventually(task), delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Runs the queued tasks and ends the thread; interrupts it if they take longer than
	 * the close timeout.
	 */
	@Override
	public void close() {
		this.timer.shutdownNow();
		this.queue.offer(() -> this.closed = true);
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
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
				this.queue.take().run();
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
