package org.comfreywall.transport.worker;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.util.Preconditions;

/**
 * A task that an executor runs repeatedly. Executors drop a repeated task once it has
 * thrown an exception; this one is logged and run again.
 */
public final class RepeatedTask implements Runnable {

	private static final EventLog LOG = EventLog.of(RepeatedTask.class);

	/** Bounds the log of a task that fails each time. */
	private static final long FAILURES_PER_LOG_LINE = 100;

	private final String name;

	private final Runnable task;

	private long failures;

	private RepeatedTask(String name, Runnable task) {
		this.name = Preconditions.notBlank(name, "name");
		this.task = Preconditions.notNull(task, "task");
	}

	/**
	 * Runs a task repeatedly.
	 * @param executor the executor
	 * @param interval the time from the end of a run to the next one, at least 1 ms
	 * @param name the name of the task in logs
	 * @param task the task
	 * @return a future that cancels further runs
	 */
	public static ScheduledFuture<?> schedule(ScheduledExecutorService executor, Duration interval, String name,
			Runnable task) {
		return executor.scheduleWithFixedDelay(new RepeatedTask(name, task), interval.toMillis(), interval.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (RuntimeException ex) {
			if (this.failures % FAILURES_PER_LOG_LINE == 0) {
				LOG.error("task-failed", Field.of("task", this.name), Field.of("failures", this.failures + 1),
						Field.of("error", ex));
			}
			this.failures++;
		}
	}

}
