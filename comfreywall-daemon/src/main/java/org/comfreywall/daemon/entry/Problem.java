package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;

/**
 * An error response to a caller as {@code application/problem+json} (RFC 9457).
 *
 * @param outcome whether the request ran, as far as known
 * @param error the error
 * @param retryAfter the time to wait before a retry; zero if none
 */
record Problem(Outcome outcome, OperationError error, Duration retryAfter) {

	private static final long MILLIS_PER_SECOND = 1000;

	static final String CONTENT_TYPE = "application/problem+json";

	static Problem of(Outcome outcome, OperationError error) {
		return new Problem(outcome, error, Duration.ZERO);
	}

	/**
	 * Returns the value of the Retry-After header.
	 * @return whole seconds, or empty if the caller need not wait
	 */
	Optional<String> retryAfterSeconds() {
		return this.retryAfter.isZero() ? Optional.empty()
				: Optional.of(Long.toString(this.retryAfter.plusMillis(MILLIS_PER_SECOND - 1).toSeconds()));
	}

	int status() {
		return switch (this.error.code()) {
			case INVALID_INPUT, MALFORMED -> 400;
			case UNAUTHENTICATED -> 401;
			case NOT_FOUND -> 404;
			case CONFLICT -> 409;
			case QUARANTINED -> 422;
			case LIMIT_EXCEEDED -> 429;
			case CANCELLED -> 499;
			case BACKEND_ERROR, CONNECTION_LOST, FENCED -> 502;
			case OVERLOADED, UNAVAILABLE -> 503;
			case DEADLINE_EXCEEDED -> 504;
			case STORAGE, INVARIANT -> 500;
		};
	}

	JsonObject json(Optional<String> request) {
		JsonObject json = new JsonObject().put("type", "about:blank")
			.put("title", this.error.code().name().toLowerCase().replace('_', ' '))
			.put("status", status())
			.put("detail", this.error.message())
			.put("outcome", this.outcome.name())
			.put("step", this.error.step().name())
			.put("resendSafe", isResendSafe());
		if (!this.retryAfter.isZero()) {
			json.put("retryAfterMs", this.retryAfter.toMillis());
		}
		this.error.peer().map(InstanceId::value).ifPresent((peer) -> json.put("peer", peer));
		request.ifPresent((id) -> json.put("requestId", id));
		return json;
	}

	private boolean isResendSafe() {
		return this.outcome == Outcome.NOT_RUN && this.error.code() != ErrorCode.QUARANTINED;
	}

}
