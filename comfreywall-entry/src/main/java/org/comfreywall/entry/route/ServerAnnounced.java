package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A backend server announced itself or a new profile. An incarnation older than the known
 * one has no effect.
 *
 * @param server the backend server, or the group that serves as one
 * @param incarnation the server's incarnation
 * @param domain the server's failure domain
 * @param profile the server's capabilities
 */
public record ServerAnnounced(BackendServerId server, Incarnation incarnation, FailureDomainId domain,
		ServerProfile profile) implements RouterEvent {

	public ServerAnnounced {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(domain, "domain");
		Preconditions.notNull(profile, "profile");
	}

}
