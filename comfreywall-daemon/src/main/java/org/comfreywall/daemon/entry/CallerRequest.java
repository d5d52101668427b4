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
 * An authenticated and validated request of a caller.
 *
 * @param id the request's identifier
 * @param account the client account
 * @param service the requested service
 * @param method the HTTP method
 * @param path the path with its query
 * @param contentType the media type of the body, or an empty string
 * @param body the body
 * @param idempotent whether the request may run more than once
 * @param keyRequired whether the service refuses a non-idempotent request without an
 * idempotency key
 * @param key the idempotency key, if the caller sent one
 * @param priority the priority class
 * @param timeout the time from arrival to the request's deadline
 * @param promptTokens the estimated number of prompt tokens; 0 for a plain service
 * @param maxTokens the maximum number of generated tokens; 0 for a plain service
 */
record CallerRequest(RequestId id, AccountId account, ServiceId service, String method, String path, String contentType,
		Bytes body, boolean idempotent, boolean keyRequired, Optional<IdempotencyKey> key, PriorityClass priority,
		Duration timeout, long promptTokens, long maxTokens) {

}
