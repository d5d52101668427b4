package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * A request of the leader that a node checks, over its own network path, whether a
 * suspected node is reachable.
 *
 * @param nonce the nonce of the probe
 * @param target the suspected node
 */
public record ProbeRequest(long nonce, NodeDescriptor target) implements RelayTreeMessage {

	public ProbeRequest {
		Preconditions.notNull(target, "target");
	}

}
