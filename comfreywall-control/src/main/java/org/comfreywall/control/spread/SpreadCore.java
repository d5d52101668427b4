package org.comfreywall.control.spread;

import java.util.List;

/**
 * A core of the relay tree without I/O: it handles events and returns commands.
 */
public interface SpreadCore {

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the current monotonic time in nanoseconds
	 * @return the commands, to be executed in order
	 */
	List<SpreadCommand> on(SpreadEvent event, long now);

}
