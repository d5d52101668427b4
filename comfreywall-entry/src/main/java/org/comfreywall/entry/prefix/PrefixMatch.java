package org.comfreywall.entry.prefix;

import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.id.BackendServerId;

/**
 * The expected number of a prompt's tokens in the prefix cache of each backend server.
 */
public final class PrefixMatch {

	/** The match of a prompt of which no server holds a block. */
	public static final PrefixMatch NONE = new PrefixMatch(Map.of());

	private final Map<BackendServerId, Double> tokens;

	PrefixMatch(Map<BackendServerId, Double> tokens) {
		this.tokens = tokens;
	}

	/**
	 * Returns the expected number of cached tokens on a server.
	 * @param server the backend server
	 * @return the expected tokens, 0 if the server is not expected to hold any
	 */
	public double cachedTokens(BackendServerId server) {
		return this.tokens.getOrDefault(server, 0.0);
	}

	/**
	 * Returns the server with the most expected tokens.
	 * @return the backend server, or empty if none holds anything
	 */
	public Optional<BackendServerId> best() {
		return this.tokens.entrySet()
			.stream()
			.max(Map.Entry.<BackendServerId, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
			.map(Map.Entry::getKey);
	}

}
