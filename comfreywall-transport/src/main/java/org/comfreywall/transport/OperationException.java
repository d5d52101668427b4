package org.comfreywall.transport;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * Carries an {@link OperationError} through a reactive stream or future; has no stack
 * trace.
 */
public final class OperationException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient OperationError error;

	/**
	 * Creates an exception.
	 * @param error the error
	 */
	public OperationException(OperationError error) {
		super(Preconditions.notNull(error, "error").message(), null, false, false);
		this.error = error;
	}

	/**
	 * Returns the error.
	 * @return the error
	 */
	public OperationError error() {
		return this.error;
	}

}
