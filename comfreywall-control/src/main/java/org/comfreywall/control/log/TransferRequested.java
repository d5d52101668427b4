package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The leader is to hand over to another voter.
 *
 * @param target the voter
 */
public record TransferRequested(InstanceId target) implements LogEvent {

	public TransferRequested {
		Preconditions.notNull(target, "target");
	}

}
