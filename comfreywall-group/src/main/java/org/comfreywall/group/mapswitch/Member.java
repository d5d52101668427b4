package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * One incarnation of the sidecar that controls the engine of a rank.
 *
 * @param server the backend server that runs the rank
 * @param incarnation the incarnation of its sidecar
 */
public record Member(BackendServerId server, Incarnation incarnation) {

	public Member {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
	}

	@Override
	public String toString() {
		return this.server + "/" + this.incarnation;
	}

}
