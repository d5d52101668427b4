package org.comfreywall.daemon.admin;

import java.util.concurrent.CompletableFuture;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.control.state.ChangeAccepted;
import org.comfreywall.control.state.ChangeAnswer;
import org.comfreywall.control.state.ChangeConflict;
import org.comfreywall.control.state.ChangeContent;
import org.comfreywall.control.state.ChangeRefused;
import org.comfreywall.control.state.ConfigurationChange;
import org.comfreywall.control.state.ConfigurationDelta;
import org.comfreywall.control.state.Rollback;

/**
 * Handles configuration changes submitted by operators.
 */
final class ChangeEndpoint {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int UNPROCESSABLE = 422;

	private final ConfigurationService configurations;

	ChangeEndpoint(ConfigurationService configurations) {
		this.configurations = configurations;
	}

	CompletableFuture<AdminResponse> submit(ChangeRequest request) {
		return content(request).thenApply((content) -> content.flatMap(request::change))
			.thenCompose((change) -> change.error()
				.map((error) -> CompletableFuture.completedFuture(AdminResponse.of(error)))
				.orElseGet(() -> submit(change.value().orElseThrow(), request.dryRun())));
	}

	private CompletableFuture<AdminResponse> submit(ConfigurationChange change, boolean dryRun) {
		CompletableFuture<Result<ChangeAnswer>> answer = dryRun ? this.configurations.dryRun(change)
				: this.configurations.apply(change);
		return answer.thenApply((result) -> respond(result, dryRun));
	}

	private CompletableFuture<Result<ChangeContent>> content(ChangeRequest request) {
		if (request.rollbackTo().isPresent()) {
			ChangeContent rollback = new Rollback(Revision.of(request.rollbackTo().getAsLong()));
			return CompletableFuture.completedFuture(Result.success(rollback));
		}
		if (request.configuration().isEmpty()) {
			return CompletableFuture.completedFuture(Result.failure(OperationError.local(ErrorCode.INVALID_INPUT,
					Step.CONFIGURE, "the change requires either 'configuration' or 'rollbackTo'")));
		}
		Result<Configuration> submitted = ConfigurationReader.parse("configuration", request.configuration().get());
		// A resend of a change that was applied must have the same content as
		// before, so the base is the revision that the change expects, not the
		// present one.
		return this.configurations.configurationAt(request.expected())
			.thenApply((base) -> submitted
				.flatMap((after) -> base.map((before) -> ConfigurationDelta.between(before, after))));
	}

	private static AdminResponse respond(Result<ChangeAnswer> result, boolean dryRun) {
		if (result.error().isPresent()) {
			return AdminResponse.of(result.error().get());
		}
		ChangeAnswer answer = result.value().orElseThrow();
		if (answer instanceof ChangeAccepted accepted) {
			return new AdminResponse(OK,
					new JsonObject().put("revision", accepted.revision().value())
						.put("applied", !dryRun)
						.put("dryRun", dryRun));
		}
		if (answer instanceof ChangeConflict conflict) {
			return new AdminResponse(CONFLICT, new JsonObject().put("error", conflictJson(conflict)));
		}
		ChangeRefused refused = (ChangeRefused) answer;
		OperationError error = OperationError.local(refused.code(), Step.CONFIGURE, refused.message());
		return new AdminResponse(UNPROCESSABLE, AdminJson.error(error));
	}

	private static JsonObject conflictJson(ChangeConflict conflict) {
		JsonObject json = new JsonObject().put("code", ErrorCode.CONFLICT.name())
			.put("step", Step.CONFIGURE.name())
			.put("message", "the configuration has changed; the current revision is " + conflict.revision())
			.put("revision", conflict.revision().value());
		conflict.winner()
			.ifPresent((winner) -> json.put("winnerChangeId", winner.change().value())
				.put("winnerAuthor", winner.author()));
		return json;
	}

}
