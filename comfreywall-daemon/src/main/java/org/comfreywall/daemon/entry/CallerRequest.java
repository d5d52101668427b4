package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.Optional;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Bytes;

/**
 * An authenticated request of a caller.
 *
 * @param id the request's identifier
 * @param account the client account
 * @param service the service asked for
 * @param method the HTTP method
 * @param path the path with its query
 * @param contentType the body's media type, or an empty text
 * @param body the body
 * @param idempotent whether the request may be repeated
 * @param keyRequired whether it is refused without an idempotency key unless it may be
 * repeated
 * @param key the idempotency key
 * @param priority the priority class
 * @param timeout the time that the caller is willing to wait
 * @param promptTokens the estimated number of prompt tokens; 0 for a plain service
 * @param maxTokens the most tokens that may be generated; 0 for a plain service
 */
record CallerRequest(RequestId id, AccountId account, ServiceId service, String method, String path, String contentType,
		Bytes body, boolean idempotent, boolean keyRequired, Optional<IdempotencyKey> key, PriorityClass priority,
		Duration timeout, long promptTokens, long maxTokens) {

}
