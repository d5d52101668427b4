package org.comfreywall.cli.admin;

import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * An accepted change of the configuration.
 *
 * @param revision the revision that it made
 * @param changeId the change's id
 * @param author who made it
 * @param reason why it was made
 * @param time when it was accepted, as the daemon writes it
 */
public record AcceptedChange(long revision, String changeId, String author, String reason, String time) {

	static List<AcceptedChange> listFrom(JsonObject body) {
		return JsonValues.objects(body, "changes", AcceptedChange::from);
	}

	private static AcceptedChange from(JsonObject change) {
		return new AcceptedChange(JsonValues.number(change, "revision"), JsonValues.textOrEmpty(change, "changeId"),
				JsonValues.textOrEmpty(change, "author"), JsonValues.textOrEmpty(change, "reason"),
				JsonValues.textOrEmpty(change, "time"));
	}

}
