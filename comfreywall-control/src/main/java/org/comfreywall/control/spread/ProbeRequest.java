package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * Asks a node to find out over its own path whether another one lives.
 *
 * @param nonce the probe's number
 * @param target the node in doubt
 */
public record ProbeRequest(long nonce, NodeDescriptor target) implements SpreadMessage {

	public ProbeRequest {
		Preconditions.notNull(target, "target");
	}

}
