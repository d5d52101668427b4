package org.comfreywall.cli.admin;

import io.vertx.core.json.JsonObject;

/**
 * Result of a change that was rejected because another change was accepted after its
 * expected revision.
 *
 * @param revision the current revision
 * @param winnerChangeId the id of the change accepted first; empty if the daemon no
 * longer has it
 * @param winnerAuthor the author of that change; empty if unknown
 * @param message the daemon's explanation
 */
public record SubmitConflict(long revision, String winnerChangeId, String winnerAuthor,
		String message) implements SubmitResult {

	static SubmitResult from(JsonObject error) {
		return new SubmitConflict(JsonValues.requiredLong(error, "revision"),
				JsonValues.stringOrEmpty(error, "winnerChangeId"), JsonValues.stringOrEmpty(error, "winnerAuthor"),
				JsonValues.stringOrEmpty(error, "message"));
	}

}
