package org.comfreywall.control.spread;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Tells what a probe found.
 *
 * @param nonce the probe's number
 * @param target the node in doubt
 * @param incarnation the incarnation that answered, or the one asked about
 * @param reachable whether the node answered
 */
public record ProbeResult(long nonce, InstanceId target, Incarnation incarnation,
		boolean reachable) implements SpreadMessage {

	public ProbeResult {
		Preconditions.notNull(target, "target");
		Preconditions.notNull(incarnation, "incarnation");
	}

}
