package org.comfreywall.entry.route;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.prefix.CacheEvent;

/**
 * A prefix cache event of a backend server was received.
 *
 * @param event the event
 */
public record CacheEventReceived(CacheEvent event) implements RouterEvent {

	public CacheEventReceived {
		Preconditions.notNull(event, "event");
	}

}
