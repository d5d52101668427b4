package org.comfreywall.control.log;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * A read cannot be answered here.
 *
 * @param read the read
 * @param error why
 */
public record ReadRefused(long read, OperationError error) implements LogCommand {

	public ReadRefused {
		Preconditions.notNull(error, "error");
	}

}
