package org.comfreywall.cli.admin;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;

/**
 * Turns responses of the admin API, and their absence, into results.
 */
final class AdminResponses {

	private static final int CONFLICT = 409;

	private static final int NOT_FOUND = 404;

	private static final int SERVER_ERROR = 500;

	private final AdminTarget target;

	AdminResponses(AdminTarget target) {
		this.target = target;
	}

	Result<AdminResponse> await(Future<AdminResponse> response) {
		try {
			return Result.success(response.toCompletionStage()
				.toCompletableFuture()
				.get(this.target.timeout().toMillis(), TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException ex) {
			return failure(ErrorCode.DEADLINE_EXCEEDED, "no answer within " + this.target.timeout().toMillis() + " ms");
		}
		catch (ExecutionException ex) {
			return failure(ErrorCode.UNAVAILABLE, reason(ex.getCause()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return failure(ErrorCode.CANCELLED, "interrupted while waiting for the answer");
		}
	}

	Result<JsonObject> successful(AdminResponse response) {
		return response.isSuccessful() ? json(response) : refused(response);
	}

	Result<SubmitResult> submitted(AdminResponse response) {
		if (response.isSuccessful()) {
			return json(response).flatMap((body) -> read(() -> SubmitAccepted.from(body)));
		}
		Optional<JsonObject> conflict = error(response)
			.filter((error) -> response.status() == CONFLICT && error.containsKey("revision"));
		return conflict.isPresent() ? read(() -> SubmitConflict.from(conflict.get())) : refused(response);
	}

	<T> Result<T> read(Supplier<T> reader) {
		try {
			return Result.success(reader.get());
		}
		catch (ClassCastException | IllegalArgumentException ex) {
			return failure(ErrorCode.MALFORMED, "the answer lacks a value or has one of another type");
		}
	}

	private Result<JsonObject> json(AdminResponse response) {
		try {
			return Result.success(response.body().isBlank() ? new JsonObject() : new JsonObject(response.body()));
		}
		catch (DecodeException | ClassCastException ex) {
			return failure(ErrorCode.MALFORMED, "the answer is not a JSON object");
		}
	}

	private <T> Result<T> refused(AdminResponse response) {
		Optional<JsonObject> error = error(response);
		if (error.isEmpty()) {
			return failure(codeOf(response.status()), "HTTP status " + response.status() + " without an error object");
		}
		JsonObject body = error.get();
		ErrorCode code = constant(ErrorCode.values(), text(body, "code")).orElse(codeOf(response.status()));
		Step step = constant(Step.values(), text(body, "step")).orElse(Step.CONFIGURE);
		Optional<InstanceId> peer = Optional.of(text(body, "peer"))
			.filter((name) -> !name.isBlank())
			.map(InstanceId::of);
		String message = text(body, "message");
		return Result.failure(new OperationError(code, step, peer, message.isBlank() ? "no reason given" : message));
	}

	private Optional<JsonObject> error(AdminResponse response) {
		return json(response).value()
			.map((body) -> body.getValue("error"))
			.filter(JsonObject.class::isInstance)
			.map(JsonObject.class::cast);
	}

	private <T> Result<T> failure(ErrorCode code, String what) {
		return Result.failure(OperationError.at(code, Step.SEND, InstanceId.of(this.target.url().toString()), what));
	}

	private static ErrorCode codeOf(int status) {
		if (status == CONFLICT) {
			return ErrorCode.CONFLICT;
		}
		if (status == NOT_FOUND) {
			return ErrorCode.NOT_FOUND;
		}
		return (status >= SERVER_ERROR) ? ErrorCode.UNAVAILABLE : ErrorCode.INVALID_INPUT;
	}

	private static String text(JsonObject body, String key) {
		Object value = body.getValue(key);
		return (value != null) ? value.toString() : "";
	}

	private static <E extends Enum<E>> Optional<E> constant(E[] constants, String name) {
		return Arrays.stream(constants).filter((constant) -> constant.name().equalsIgnoreCase(name)).findFirst();
	}

	private static String reason(Throwable cause) {
		return (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
	}

}
