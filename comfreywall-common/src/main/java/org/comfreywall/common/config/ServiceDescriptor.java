package org.comfreywall.common.config;

import java.util.List;

import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Configuration of a service that backend servers offer to client accounts.
 *
 * @param id the service
 * @param kind the kind of service
 * @param pathPrefix the path prefix of a plain service's requests, starting with a slash;
 * for a model, the chat-completion path
 * @param idempotentRequests the requests that may be run more than once, each as method
 * and path prefix such as {@code GET /schedule}
 * @param keyRequired whether a non-idempotent request without an idempotency key is
 * rejected
 */
public record ServiceDescriptor(ServiceId id, ServiceKind kind, String pathPrefix, List<String> idempotentRequests,
		boolean keyRequired) {

	public ServiceDescriptor {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(kind, "kind");
		Preconditions.notBlank(pathPrefix, "pathPrefix");
		Preconditions.check(pathPrefix.startsWith("/"), "pathPrefix must start with a slash: %s", pathPrefix);
		idempotentRequests = List.copyOf(idempotentRequests);
	}

	/**
	 * Returns whether a request may be run more than once.
	 * @param method the HTTP method
	 * @param path the request's path
	 * @return {@code true} if an element of {@link #idempotentRequests()} matches
	 */
	public boolean isIdempotent(String method, String path) {
		String request = method + " " + path;
		return this.idempotentRequests.stream().anyMatch((prefix) -> matches(prefix, request));
	}

	private static boolean matches(String prefix, String request) {
		if (!request.startsWith(prefix)) {
			return false;
		}
		return request.length() == prefix.length() || prefix.endsWith("/")
				|| "/?".indexOf(request.charAt(prefix.length())) >= 0;
	}

}
