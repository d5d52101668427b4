package org.comfreywall.common.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

import org.comfreywall.common.util.Preconditions;

/**
 * Writes log records on a dedicated thread and drops records while its queue is full, so
 * that logging never blocks the calling thread. The number of dropped records is logged
 * once the writer catches up.
 */
final class BoundedHandler extends Handler {

	private final BlockingQueue<LogRecord> queue;

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream out;

	/**
	 * Creates a handler and starts its writer thread.
	 * @param out the output for the formatted lines
	 * @param capacity the capacity of the queue in records
	 * @param formatter the formatter; set before the writer thread starts, which would
	 * otherwise terminate with a {@code NullPointerException}
	 */
	BoundedHandler(PrintStream out, int capacity, Formatter formatter) {
		this.out = Preconditions.notNull(out, "out");
		this.queue = new ArrayBlockingQueue<>(capacity);
		setFormatter(formatter);
		Thread writer = new Thread(this::writeRecords, "log");
		writer.setDaemon(true);
		writer.start();
	}

	@Override
	public void publish(LogRecord entry) {
		if (isLoggable(entry) && !this.queue.offer(entry)) {
			this.dropped.incrementAndGet();
		}
	}

	private void writeRecords() {
		try {
			while (true) {
				StringBuilder lines = new StringBuilder(getFormatter().format(this.queue.take()));
				for (LogRecord next = this.queue.poll(); next != null; next = this.queue.poll()) {
					lines.append(getFormatter().format(next));
				}
				long droppedCount = this.dropped.getAndSet(0);
				if (droppedCount > 0) {
					lines.append("event=log-lines-dropped count=").append(droppedCount).append('\n');
				}
				this.out.print(lines.toString());
				this.out.flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void flush() {
		this.out.flush();
	}

	@Override
	public void close() {
		flush();
	}

}
