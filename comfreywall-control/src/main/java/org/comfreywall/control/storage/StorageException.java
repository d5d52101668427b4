package org.comfreywall.control.storage;

import java.io.IOException;

/**
 * Thrown within this package if a data folder cannot be used in its current state.
 */
final class StorageException extends IOException {

	private static final long serialVersionUID = 1L;

	StorageException(String message) {
		super(message);
	}

}
