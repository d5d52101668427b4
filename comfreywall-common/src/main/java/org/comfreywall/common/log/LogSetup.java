package org.comfreywall.common.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.comfreywall.common.util.Preconditions;

/**
 * Configures the logs of a process.
 */
public final class LogSetup {

	private LogSetup() {
	}

	/**
	 * Writes one line of key=value pairs for each event to standard error.
	 * @param level the lowest level written
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

}
