package org.comfreywall.control.log;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * Durable storage has failed; the instance stops participating.
 *
 * @param error the error
 */
public record StorageFailed(OperationError error) implements LogEvent {

	public StorageFailed {
		Preconditions.notNull(error, "error");
	}

}
