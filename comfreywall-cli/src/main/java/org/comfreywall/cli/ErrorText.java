package org.comfreywall.cli;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.command.ExitCode;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Prints errors with what to do next.
 */
final class ErrorText {

	private ErrorText() {
	}

	static List<String> lines(OperationError error) {
		List<String> lines = new ArrayList<>();
		error.message().lines().forEach((line) -> lines.add("error: " + line));
		lines.add("  " + ValueTypes.lowerCase(error.code()) + " at step " + ValueTypes.lowerCase(error.step())
				+ error.peer().map((peer) -> " at " + peer).orElse(""));
		lines.add("next: " + nextStep(error.code()));
		return lines;
	}

	static JsonObject json(OperationError error, ExitCode exit) {
		JsonObject body = new JsonObject().put("code", error.code().name())
			.put("step", error.step().name())
			.put("peer", error.peer().map(InstanceId::value).orElse(""))
			.put("message", error.message())
			.put("next", nextStep(error.code()));
		return new JsonObject().put("error", body).put("exitCode", exit.number());
	}

	private static String nextStep(ErrorCode code) {
		return switch (code) {
			case INVALID_INPUT ->
				"mend what the message names and try again; docs/operators/settings.md lists every key";
			case UNAUTHENTICATED -> "give --certificate and --key of an operator that the daemon trusts";
			case NOT_FOUND -> "check the name; comfreywall status and comfreywall get list the known ones";
			case CONFLICT -> "fetch the present configuration with comfreywall get, make the change there and apply it";
			case UNAVAILABLE, DEADLINE_EXCEEDED, CONNECTION_LOST ->
				"check that the daemon runs and that --admin or COMFREYWALL_ADMIN names its admin address";
			case OVERLOADED, LIMIT_EXCEEDED -> "try again in a few seconds";
			case MALFORMED -> "check that --admin names a daemon's admin address and that both have the same version";
			case STORAGE -> "check space and permissions of the folder named, then try again";
			default -> "try again; if it persists, look at the daemon's log at the step and peer named";
		};
	}

}
