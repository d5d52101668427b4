package org.comfreywall.daemon.admin;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.result.OperationError;

/**
 * A response of the admin interface.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
record AdminResponse(int status, JsonObject body) {

	static AdminResponse ok(JsonObject body) {
		return new AdminResponse(200, body);
	}

	static AdminResponse of(OperationError error) {
		int status = switch (error.code()) {
			case INVALID_INPUT, MALFORMED -> 400;
			case NOT_FOUND -> 404;
			case CONFLICT -> 409;
			case UNAVAILABLE, OVERLOADED, CONNECTION_LOST -> 503;
			case DEADLINE_EXCEEDED -> 504;
			default -> 500;
		};
		return new AdminResponse(status, AdminJson.error(error));
	}

}
