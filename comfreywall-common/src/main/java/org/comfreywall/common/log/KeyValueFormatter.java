package org.comfreywall.common.log;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

import org.comfreywall.common.decision.Field;

/**
 * Formats a log record as one line of key=value pairs. Records of libraries, which log
 * plain messages, become events named {@code library}.
 */
final class KeyValueFormatter extends Formatter {

	private static final String EVENT_PREFIX = "event=";

	@Override
	public String format(LogRecord record) {
		String message = formatMessage(record);
		String event = message.startsWith(EVENT_PREFIX) ? message : libraryEvent(record, message);
		return "time=" + record.getInstant() + " level=" + record.getLevel().getName() + " " + event + "\n";
	}

	private static String libraryEvent(LogRecord record, String message) {
		Throwable thrown = record.getThrown();
		Field[] fields = (thrown != null) ? new Field[] { Field.of("message", message), Field.of("error", thrown),
				Field.of("at", origin(thrown)) } : new Field[] { Field.of("message", message) };
		return new LogLine(String.valueOf(record.getLoggerName()), "library", fields).toString();
	}

	private static String origin(Throwable thrown) {
		StackTraceElement[] trace = thrown.getStackTrace();
		return (trace.length > 0) ? trace[0].toString() : "unknown";
	}

}
