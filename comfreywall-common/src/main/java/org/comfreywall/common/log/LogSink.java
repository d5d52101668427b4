package org.comfreywall.common.log;

/**
 * Receives the lines of an {@link EventLog}.
 */
@FunctionalInterface
interface LogSink {

	void write(Severity severity, LogLine line);

}
