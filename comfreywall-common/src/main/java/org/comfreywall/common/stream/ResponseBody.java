package org.comfreywall.common.stream;

import java.net.HttpURLConnection;

/**
 * Says which HTTP responses may have a body.
 */
public final class ResponseBody {

	private ResponseBody() {
	}

	/**
	 * Returns whether a final response may have a body.
	 * @param method the method of the request
	 * @param status the status of the response
	 * @return {@code false} for a response to {@code HEAD} and for the statuses 204, 205
	 * and 304
	 */
	public static boolean isAllowed(String method, int status) {
		return !method.equals("HEAD") && status != HttpURLConnection.HTTP_NO_CONTENT
				&& status != HttpURLConnection.HTTP_RESET && status != HttpURLConnection.HTTP_NOT_MODIFIED;
	}

}
