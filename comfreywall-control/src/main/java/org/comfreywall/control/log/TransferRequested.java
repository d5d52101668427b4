package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * A transfer of leadership to another voter is requested.
 *
 * @param target the voter
 */
public record TransferRequested(InstanceId target) implements LogEvent {

	public TransferRequested {
		Preconditions.notNull(target, "target");
	}

}
