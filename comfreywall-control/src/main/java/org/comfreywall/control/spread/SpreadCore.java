package org.comfreywall.control.spread;

import java.util.List;

/**
 * A decision core of the relay tree: events in, commands out.
 */
public interface SpreadCore {

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the monotonic clock's reading in nanoseconds
	 * @return the commands to be carried out in order
	 */
	List<SpreadCommand> on(SpreadEvent event, long now);

}
