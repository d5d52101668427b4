package org.comfreywall.cli.admin;

import java.util.Optional;
import java.util.OptionalLong;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.util.Preconditions;

/**
 * A configuration change or rollback to submit.
 *
 * @param changeId the idempotency key of the change; a resend carries the same id
 * @param expectedRevision the revision that the change is based on
 * @param author the author of the change
 * @param reason the reason for the change, possibly empty
 * @param configuration the new configuration in TOML; empty for a rollback
 * @param rollbackTo the revision to roll back to; empty for a new configuration
 * @param dryRun whether the change is only validated, not applied
 */
public record ChangeSubmission(ChangeId changeId, long expectedRevision, String author, String reason,
		Optional<String> configuration, OptionalLong rollbackTo, boolean dryRun) {

	public ChangeSubmission {
		Preconditions.notNull(changeId, "changeId");
		Preconditions.check(expectedRevision >= 0, "expectedRevision must not be negative: %d", expectedRevision);
		Preconditions.notBlank(author, "author");
		Preconditions.notNull(reason, "reason");
		Preconditions.check(configuration.isPresent() != rollbackTo.isPresent(),
				"either configuration or rollbackTo must be given");
	}

	JsonObject toJson() {
		JsonObject json = new JsonObject().put("changeId", this.changeId.value())
			.put("expectedRevision", this.expectedRevision)
			.put("author", this.author)
			.put("reason", this.reason)
			.put("dryRun", this.dryRun);
		this.configuration.ifPresent((text) -> json.put("configuration", text));
		this.rollbackTo.ifPresent((revision) -> json.put("rollbackTo", revision));
		return json;
	}

}
