package org.comfreywall.control.log;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * A read was refused by this instance.
 *
 * @param read the read
 * @param error the reason
 */
public record ReadRefused(long read, OperationError error) implements LogCommand {

	public ReadRefused {
		Preconditions.notNull(error, "error");
	}

}
