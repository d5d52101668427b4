package org.comfreywall.transport.attempt;

import java.time.Duration;
import java.util.Optional;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * The HTTP request that an attempt sends to the backend server.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param contentType the body's media type, or an empty string
 * @param body the body
 * @param priority the priority class
 * @param remaining the time left until the caller's deadline
 * @param idempotencyKey the caller's idempotency key
 */
public record AttemptPayload(String method, String path, String contentType, Bytes body, PriorityClass priority,
		Duration remaining, Optional<IdempotencyKey> idempotencyKey) {

	public AttemptPayload {
		Preconditions.notBlank(method, "method");
		Preconditions.notBlank(path, "path");
		Preconditions.notNull(contentType, "contentType");
		Preconditions.notNull(body, "body");
		Preconditions.notNull(priority, "priority");
		Preconditions.notNull(remaining, "remaining");
		Preconditions.notNull(idempotencyKey, "idempotencyKey");
	}

}
