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
 * Converts responses of the admin API, timeouts and connection failures into results.
 */
final class AdminResponseConverter {

	private static final int CONFLICT = 409;

	private static final int NOT_FOUND = 404;

	private static final int SERVER_ERROR = 500;

	private final AdminTarget target;

	AdminResponseConverter(AdminTarget target) {
		this.target = target;
	}

	Result<AdminResponse> await(Future<AdminResponse> response) {
		try {
			return Result.success(response.toCompletionStage()
				.toCompletableFuture()
				.get(this.target.timeout().toMillis(), TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException ex) {
			return failure(ErrorCode.DEADLINE_EXCEEDED,
					"no response within " + this.target.timeout().toMillis() + " ms");
		}
		catch (ExecutionException ex) {
			return failure(ErrorCode.UNAVAILABLE, rootMessage(ex.getCause()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return failure(ErrorCode.CANCELLED, "interrupted while waiting for the response");
		}
	}

	Result<JsonObject> toBody(AdminResponse response) {
		return response.isSuccessful() ? parseBody(response) : toFailure(response);
	}

	Result<SubmitResult> toSubmitResult(AdminResponse response) {
		if (response.isSuccessful()) {
			return parseBody(response).flatMap((body) -> decode(() -> SubmitAccepted.from(body)));
		}
		Optional<JsonObject> conflict = findError(response)
			.filter((error) -> response.status() == CONFLICT && error.containsKey("revision"));
		return conflict.isPresent() ? decode(() -> SubmitConflict.from(conflict.get())) : toFailure(response);
	}

	<T> Result<T> decode(Supplier<T> reader) {
		try {
			return Result.success(reader.get());
		}
		catch (ClassCastException | IllegalArgumentException ex) {
			return failure(ErrorCode.MALFORMED, "the response lacks a required value or has a value of the wrong type");
		}
	}

	private Result<JsonObject> parseBody(AdminResponse response) {
		try {
			return Result.success(response.body().isBlank() ? new JsonObject() : new JsonObject(response.body()));
		}
		catch (DecodeException | ClassCastException ex) {
			return failure(ErrorCode.MALFORMED, "the response is not a JSON object");
		}
	}

	private <T> Result<T> toFailure(AdminResponse response) {
		Optional<JsonObject> error = findError(response);
		if (error.isEmpty()) {
			return failure(defaultCode(response.status()),
					"HTTP status " + response.status() + " without an error object");
		}
		JsonObject body = error.get();
		ErrorCode code = findConstant(ErrorCode.values(), textOrEmpty(body, "code"))
			.orElse(defaultCode(response.status()));
		Step step = findConstant(Step.values(), textOrEmpty(body, "step")).orElse(Step.CONFIGURE);
		Optional<InstanceId> peer = Optional.of(textOrEmpty(body, "peer"))
			.filter((name) -> !name.isBlank())
			.map(InstanceId::of);
		String message = textOrEmpty(body, "message");
		return Result.failure(new OperationError(code, step, peer, message.isBlank() ? "no reason given" : message));
	}

	private Optional<JsonObject> findError(AdminResponse response) {
		return parseBody(response).value()
			.map((body) -> body.getValue("error"))
			.filter(JsonObject.class::isInstance)
			.map(JsonObject.class::cast);
	}

	private <T> Result<T> failure(ErrorCode code, String message) {
		return Result
			.failure(OperationError.atPeer(code, Step.SEND, InstanceId.of(this.target.url().toString()), message));
	}

	private static ErrorCode defaultCode(int status) {
		if (status == CONFLICT) {
			return ErrorCode.CONFLICT;
		}
		if (status == NOT_FOUND) {
			return ErrorCode.NOT_FOUND;
		}
		return (status >= SERVER_ERROR) ? ErrorCode.UNAVAILABLE : ErrorCode.INVALID_INPUT;
	}

	private static String textOrEmpty(JsonObject body, String key) {
		Object value = body.getValue(key);
		return (value != null) ? value.toString() : "";
	}

	private static <E extends Enum<E>> Optional<E> findConstant(E[] constants, String name) {
		return Arrays.stream(constants).filter((constant) -> constant.name().equalsIgnoreCase(name)).findFirst();
	}

	private static String rootMessage(Throwable error) {
		Throwable root = error;
		while (root.getCause() != null) {
			root = root.getCause();
		}
		return (root.getMessage() != null) ? root.getMessage() : root.getClass().getSimpleName();
	}

}
