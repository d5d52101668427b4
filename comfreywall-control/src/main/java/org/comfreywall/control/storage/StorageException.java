package org.comfreywall.control.storage;

import java.io.IOException;

/**
 * Thrown inside this package when a data folder must not be used as it is.
 */
final class StorageException extends IOException {

	private static final long serialVersionUID = 1L;

	StorageException(String message) {
		super(message);
	}

}
