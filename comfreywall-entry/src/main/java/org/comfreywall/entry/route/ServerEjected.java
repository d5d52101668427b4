package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.util.Preconditions;

/**
 * Note that a backend server gets no work from this entry for some time.
 *
 * @param server the backend server
 * @param duration how long
 */
public record ServerEjected(BackendServerId server, Duration duration) implements RouterCommand {

	public ServerEjected {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(duration, "duration");
	}

}
