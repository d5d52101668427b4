package org.comfreywall.entry.route;

import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.prefix.PromptChain;

/**
 * The properties of a request that determine the choice of its backend server.
 *
 * @param request the request
 * @param priority its priority class
 * @param promptTokens the estimated number of prompt tokens; 0 for a plain service
 * @param chain the chained block hashes of the prompt
 * @param session the session that the request belongs to, if any
 * @param excluded the backend servers that must not be chosen
 */
public record RouteRequest(RequestId request, PriorityClass priority, int promptTokens, PromptChain chain,
		Optional<SessionId> session, Set<BackendServerId> excluded) {

	public RouteRequest {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(priority, "priority");
		Preconditions.check(promptTokens >= 0, "promptTokens must not be negative: %d", promptTokens);
		Preconditions.notNull(chain, "chain");
		Preconditions.notNull(session, "session");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates a request to a plain service.
	 * @param request the id of the request
	 * @param priority its priority class
	 * @return the request without prompt, session and exclusions
	 */
	public static RouteRequest plain(RequestId request, PriorityClass priority) {
		return new RouteRequest(request, priority, 0, PromptChain.EMPTY, Optional.empty(), Set.of());
	}

}
