package org.comfreywall.common.stream;

/**
 * Says which status codes an HTTP response may have.
 */
public final class ResponseStatus {

	private static final int MIN_STATUS = 100;

	private static final int MAX_STATUS = 599;

	private ResponseStatus() {
	}

	/**
	 * Returns whether a status code is one that HTTP defines a class for (RFC 9110,
	 * section 15). A message with another one is no response, whatever its other parts
	 * say.
	 * @param status the status code as received
	 * @return {@code true} from 100 to 599
	 */
	public static boolean isValid(int status) {
		return status >= MIN_STATUS && status <= MAX_STATUS;
	}

}
