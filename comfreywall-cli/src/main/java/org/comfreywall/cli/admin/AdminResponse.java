package org.comfreywall.cli.admin;

/**
 * A whole response of the admin API.
 *
 * @param status the HTTP status
 * @param body the body
 */
record AdminResponse(int status, String body) {

	boolean isSuccessful() {
		return this.status >= 200 && this.status < 300;
	}

}
