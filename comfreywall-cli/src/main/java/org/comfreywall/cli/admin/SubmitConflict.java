package org.comfreywall.cli.admin;

import io.vertx.core.json.JsonObject;

/**
 * Another change came first.
 *
 * @param revision the present revision
 * @param winnerChangeId the id of the change that came first
 * @param winnerAuthor who made it
 * @param message the daemon's explanation
 */
public record SubmitConflict(long revision, String winnerChangeId, String winnerAuthor,
		String message) implements SubmitResult {

	static SubmitResult from(JsonObject error) {
		return new SubmitConflict(JsonValues.number(error, "revision"), JsonValues.textOrEmpty(error, "winnerChangeId"),
				JsonValues.textOrEmpty(error, "winnerAuthor"), JsonValues.textOrEmpty(error, "message"));
	}

}
