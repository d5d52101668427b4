package org.comfreywall.gateway.http;

import org.comfreywall.common.util.Preconditions;

/**
 * The names of the headers that the gateway reads and sets.
 *
 * @param request identifies one sending of a request by its caller; echoed in responses
 * @param deadline the time for which the sender waits, in milliseconds
 * @param seal the backend server's signature of a response
 * @param account the client account, set in requests to backend servers
 * @param key the caller's key, never forwarded
 * @param expectedServer the only backend server that may run the request
 * @param notRun present if a backend server did not run the request
 * @param faultyServer the backend server that caused a rejection
 * @param promptParts the parts of a request's prompt in order, as {@code ID:TOKENS}
 * separated by commas
 * @param leaving has the value {@code 1} if a backend server accepts no more requests
 * @param cold the time that a backend server stays cold, in milliseconds
 * @param tokenCount the tokens of a request, as {@code PROMPT,MAX_OUTPUT}
 * @param lengthHint the caller's estimate of output tokens
 * @param enginePriority the order in which an engine admits requests, from 0 (first) to 9
 */
public record HeaderNames(String request, String deadline, String seal, String account, String key,
		String expectedServer, String notRun, String faultyServer, String promptParts, String leaving, String cold,
		String tokenCount, String lengthHint, String enginePriority) {

	public HeaderNames {
		Preconditions.notBlank(request, "request");
		Preconditions.notBlank(deadline, "deadline");
		Preconditions.notBlank(seal, "seal");
		Preconditions.notBlank(account, "account");
		Preconditions.notBlank(key, "key");
		Preconditions.notBlank(expectedServer, "expectedServer");
		Preconditions.notBlank(notRun, "notRun");
		Preconditions.notBlank(faultyServer, "faultyServer");
		Preconditions.notBlank(promptParts, "promptParts");
		Preconditions.notBlank(leaving, "leaving");
		Preconditions.notBlank(cold, "cold");
		Preconditions.notBlank(tokenCount, "tokenCount");
		Preconditions.notBlank(lengthHint, "lengthHint");
		Preconditions.notBlank(enginePriority, "enginePriority");
	}

}
