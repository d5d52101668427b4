package org.comfreywall.common.log;

import java.time.Instant;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.comfreywall.common.util.Preconditions;

/**
 * Configures the logging of a process.
 */
public final class LogSetup {

	/** About ten seconds of log output of a busy entry instance. */
	private static final int MAX_QUEUED_LINES = 4096;

	private LogSetup() {
	}

	/**
	 * Logs to standard error.
	 * @param level the minimum level
	 */
	public static void install(Level level) {
		Preconditions.notNull(level, "level");
		Logger root = Logger.getLogger("");
		root.setLevel(level);
		for (Handler handler : root.getHandlers()) {
			handler.setLevel(level);
			handler.setFormatter(new KeyValueFormatter());
		}
	}

	/**
	 * Logs to standard output on the calling thread, without any library. For processes
	 * that log a line now and then and must start fast. Debugging lines are left out.
	 */
	public static void installDirect() {
		EventLog.setSink((severity, line) -> {
			if (severity != Severity.FINE) {
				System.out.println("time=" + Instant.now() + " level=" + severity + " " + line);
			}
		});
	}

	/**
	 * Logs to standard output through a bounded queue, so that logging never blocks the
	 * calling thread. Lines that do not fit are dropped and counted.
	 * @param level the minimum level
	 */
	public static void installBounded(Level level) {
		Preconditions.notNull(level, "level");
		Logger root = Logger.getLogger("");
		root.setLevel(level);
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		Handler bounded = new BoundedHandler(System.out, MAX_QUEUED_LINES, new KeyValueFormatter());
		bounded.setLevel(level);
		root.addHandler(bounded);
	}

}
