package org.comfreywall.common.log;

import com.google.common.flogger.FluentLogger;

/**
 * Writes log lines through Flogger.
 */
final class FloggerSink implements LogSink {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	@Override
	public void write(Severity severity, LogLine line) {
		switch (severity) {
			case FINE -> LOGGER.atFine().log("%s", line);
			case INFO -> LOGGER.atInfo().log("%s", line);
			case WARNING -> LOGGER.atWarning().log("%s", line);
			case SEVERE -> LOGGER.atSevere().log("%s", line);
		}
	}

}
