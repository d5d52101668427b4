package org.comfreywall.transport;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies one incarnation of a process at either end of a connection.
 *
 * @param instance the process's name
 * @param incarnation the process's incarnation
 */
public record PeerIdentity(InstanceId instance, Incarnation incarnation) {

	public PeerIdentity {
		Preconditions.notNull(instance, "instance");
		Preconditions.notNull(incarnation, "incarnation");
	}

}
