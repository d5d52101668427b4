package org.comfreywall.cli.admin;

import io.vertx.core.json.JsonObject;

/**
 * Result of an accepted change, or of a dry run whose change would be accepted.
 *
 * @param revision the revision that the change created or, in a dry run, would create
 * @param applied whether the change was applied; {@code false} in a dry run
 */
public record SubmitAccepted(long revision, boolean applied) implements SubmitResult {

	static SubmitResult from(JsonObject body) {
		return new SubmitAccepted(JsonValues.requiredLong(body, "revision"), body.getBoolean("applied", false));
	}

}
