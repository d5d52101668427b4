package org.comfreywall.cli.admin;

import io.vertx.core.json.JsonObject;

/**
 * The change was accepted, or would be in a dry run.
 *
 * @param revision the revision that the change made, or would make
 * @param applied whether the change was made
 */
public record SubmitAccepted(long revision, boolean applied) implements SubmitResult {

	static SubmitResult from(JsonObject body) {
		return new SubmitAccepted(JsonValues.number(body, "revision"), body.getBoolean("applied", false));
	}

}
