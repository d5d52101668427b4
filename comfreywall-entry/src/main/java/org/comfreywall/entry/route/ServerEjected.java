package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports that a backend server was ejected, so that this entry sends it no requests for
 * some time.
 *
 * @param server the backend server
 * @param duration the duration of the ejection
 */
public record ServerEjected(BackendServerId server, Duration duration) implements RouterCommand {

	public ServerEjected {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(duration, "duration");
	}

}
