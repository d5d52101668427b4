package org.comfreywall.entry.prefix;

import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.id.BackendServerId;

/**
 * The expected number of a prompt's tokens that each backend server holds.
 */
public final class PrefixMatch {

	/** A match of nothing. */
	public static final PrefixMatch NONE = new PrefixMatch(Map.of());

	private final Map<BackendServerId, Double> tokens;

	PrefixMatch(Map<BackendServerId, Double> tokens) {
		this.tokens = tokens;
	}

	/**
	 * Returns the expected number of cached tokens on a server.
	 * @param server the backend server
	 * @return the tokens, 0 if nothing is known
	 */
	public double cachedTokens(BackendServerId server) {
		return this.tokens.getOrDefault(server, 0.0);
	}

	/**
	 * Returns the server expected to hold most.
	 * @return the backend server, or empty if none holds anything
	 */
	public Optional<BackendServerId> best() {
		return this.tokens.entrySet()
			.stream()
			.max(Map.Entry.<BackendServerId, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
			.map(Map.Entry::getKey);
	}

}
