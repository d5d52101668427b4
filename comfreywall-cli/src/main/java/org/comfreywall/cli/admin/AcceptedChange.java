package org.comfreywall.cli.admin;

import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * An entry of the configuration history.
 *
 * @param revision the revision that the change created
 * @param changeId the id that identifies resends of the change
 * @param author the author of the change
 * @param reason the reason given by the author
 * @param time the time of acceptance, in the format of the daemon
 */
public record AcceptedChange(long revision, String changeId, String author, String reason, String time) {

	static List<AcceptedChange> listFrom(JsonObject body) {
		return JsonValues.requiredObjects(body, "changes", AcceptedChange::from);
	}

	private static AcceptedChange from(JsonObject change) {
		return new AcceptedChange(JsonValues.requiredLong(change, "revision"),
				JsonValues.stringOrEmpty(change, "changeId"), JsonValues.stringOrEmpty(change, "author"),
				JsonValues.stringOrEmpty(change, "reason"), JsonValues.stringOrEmpty(change, "time"));
	}

}
