package org.comfreywall.cli.admin;

/**
 * An HTTP response of the admin API.
 *
 * @param status the HTTP status code
 * @param body the complete body as text
 */
record AdminResponse(int status, String body) {

	boolean isSuccessful() {
		return this.status >= 200 && this.status < 300;
	}

}
