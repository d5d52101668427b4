package org.comfreywall.control.spread;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The result of a probe.
 *
 * @param nonce the nonce of the probe
 * @param target the suspected node
 * @param incarnation the incarnation that responded, or that of the probe request if none
 * did
 * @param reachable whether the node responded
 */
public record ProbeResult(long nonce, InstanceId target, Incarnation incarnation,
		boolean reachable) implements RelayTreeMessage {

	public ProbeResult {
		Preconditions.notNull(target, "target");
		Preconditions.notNull(incarnation, "incarnation");
	}

}
