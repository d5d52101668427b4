package org.comfreywall.common.log;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.util.Preconditions;

/**
 * Logs events, each as one line of key=value pairs.
 */
public final class EventLog {

	private static volatile LogSink sink;

	private final String source;

	private EventLog(String source) {
		this.source = source;
	}

	/**
	 * Creates a log for a class.
	 * @param source the class that logs
	 * @return the log
	 */
	public static EventLog of(Class<?> source) {
		return new EventLog(Preconditions.notNull(source, "source").getSimpleName());
	}

	static void setSink(LogSink newSink) {
		sink = newSink;
	}

	// Loads Flogger with the first line, so that processes without it start faster.
	private static LogSink sink() {
		LogSink present = sink;
		if (present == null) {
			present = new FloggerSink();
			sink = present;
		}
		return present;
	}

	/**
	 * Logs an event that requires no action of an operator.
	 * @param event the event's name, in lower case with dashes
	 * @param fields the event's fields; must not contain secrets
	 */
	public void info(String event, Field... fields) {
		sink().write(Severity.INFO, new LogLine(this.source, event, fields));
	}

	/**
	 * Logs an event that may require action of an operator.
	 * @param event the event's name, in lower case with dashes
	 * @param fields the event's fields; must not contain secrets
	 */
	public void warn(String event, Field... fields) {
		sink().write(Severity.WARNING, new LogLine(this.source, event, fields));
	}

	/**
	 * Logs an event that requires action of an operator.
	 * @param event the event's name, in lower case with dashes
	 * @param fields the event's fields; must not contain secrets
	 */
	public void error(String event, Field... fields) {
		sink().write(Severity.SEVERE, new LogLine(this.source, event, fields));
	}

	/**
	 * Logs an event for debugging.
	 * @param event the event's name, in lower case with dashes
	 * @param fields the event's fields; must not contain secrets
	 */
	public void debug(String event, Field... fields) {
		sink().write(Severity.FINE, new LogLine(this.source, event, fields));
	}

}
