package org.comfreywall.control.spread;

import java.util.List;

/**
 * A state machine of the relay tree that performs no I/O. The caller passes it events and
 * executes the commands that it returns.
 */
public interface RelayTreeCore {

	/**
	 * Handles an event.
	 * @param event the event
	 * @param now the current monotonic time in nanoseconds
	 * @return the commands to execute, in order
	 */
	List<RelayTreeCommand> on(RelayTreeEvent event, long now);

}
