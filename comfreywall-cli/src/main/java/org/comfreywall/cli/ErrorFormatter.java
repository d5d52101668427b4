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
 * Formats errors together with a suggested next step.
 */
final class ErrorFormatter {

	private ErrorFormatter() {
	}

	static List<String> lines(OperationError error) {
		List<String> lines = new ArrayList<>();
		error.message().lines().forEach((line) -> lines.add("error: " + line));
		lines.add("  " + ValueTypes.lowerCase(error.code()) + " at step " + ValueTypes.lowerCase(error.step())
				+ error.peer().map((peer) -> " at " + peer).orElse(""));
		lines.add("next: " + nextStep(error));
		return lines;
	}

	static JsonObject json(OperationError error, ExitCode exit) {
		JsonObject body = new JsonObject().put("code", error.code().name())
			.put("step", error.step().name())
			.put("peer", error.peer().map(InstanceId::value).orElse(""))
			.put("message", error.message())
			.put("next", nextStep(error));
		return new JsonObject().put("error", body).put("exitCode", exit.number());
	}

	private static String nextStep(OperationError error) {
		boolean isLocal = error.code() == ErrorCode.NOT_FOUND && error.peer().isEmpty();
		return isLocal ? "check the name in the message and try again" : nextStep(error.code());
	}

	private static String nextStep(ErrorCode code) {
		return switch (code) {
			case INVALID_INPUT ->
				"correct the values in the message and try again; docs/operators/settings.md lists every key";
			case UNAUTHENTICATED -> "give --certificate and --key with a client certificate that the daemon trusts";
			case NOT_FOUND -> "check the name; comfreywall status and comfreywall get list the existing names";
			case CONFLICT ->
				"fetch the current configuration with comfreywall get, repeat the change in it and apply it";
			case UNAVAILABLE, DEADLINE_EXCEEDED, CONNECTION_LOST ->
				"check that the daemon is running and that --admin or COMFREYWALL_ADMIN is its admin URL; https requires --trust";
			case OVERLOADED, LIMIT_EXCEEDED -> "try again in a few seconds";
			case MALFORMED -> "check that --admin is the admin URL of a daemon and that both have the same version";
			case STORAGE -> "check the free space and permissions of the folder in the message, then try again";
			default -> "try again; if the error persists, search the daemon's log for the step and peer above";
		};
	}

}
