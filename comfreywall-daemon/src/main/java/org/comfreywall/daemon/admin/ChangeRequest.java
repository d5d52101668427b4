package org.comfreywall.daemon.admin;

import java.util.Optional;
import java.util.OptionalLong;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.control.state.ChangeContent;
import org.comfreywall.control.state.ConfigurationChange;

/**
 * A configuration change as an operator submits it to the admin interface.
 *
 * @param id the change's identifier
 * @param expected the revision that the change is based on; it conflicts if another is
 * current
 * @param author the operator who submits the change
 * @param reason the reason for the change, kept in the history
 * @param configuration the complete new configuration as TOML, or empty for a rollback
 * @param rollbackTo the revision to restore, or empty for a new configuration
 * @param dryRun whether to validate the change without applying it
 */
record ChangeRequest(ChangeId id, Revision expected, String author, String reason, Optional<String> configuration,
		OptionalLong rollbackTo, boolean dryRun) {

	private static final String NO_REASON = "no reason given";

	static Result<ChangeRequest> parse(Buffer body) {
		try {
			JsonObject json = body.toJsonObject();
			Long rollback = json.getLong("rollbackTo");
			return Result.success(new ChangeRequest(ChangeId.of(json.getString("changeId")),
					Revision.of(json.getLong("expectedRevision", -1L)), json.getString("author", ""),
					reason(json.getString("reason")), Optional.ofNullable(json.getString("configuration")),
					(rollback != null) ? OptionalLong.of(rollback) : OptionalLong.empty(),
					json.getBoolean("dryRun", false)));
		}
		catch (DecodeException | IllegalArgumentException | ClassCastException ex) {
			return Result.failure(OperationError.local(ErrorCode.INVALID_INPUT, Step.CONFIGURE,
					"the change is malformed: " + ex.getMessage()));
		}
	}

	Result<ConfigurationChange> change(ChangeContent content) {
		try {
			return Result.success(new ConfigurationChange(this.id, this.expected, this.author, this.reason, content));
		}
		catch (IllegalArgumentException ex) {
			return Result.failure(OperationError.local(ErrorCode.INVALID_INPUT, Step.CONFIGURE, ex.getMessage()));
		}
	}

	private static String reason(String given) {
		return (given == null || given.isBlank()) ? NO_REASON : given;
	}

}
