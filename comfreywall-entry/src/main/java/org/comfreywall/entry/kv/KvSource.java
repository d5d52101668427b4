package org.comfreywall.entry.kv;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.util.Preconditions;

/**
 * A backend server that can export key-value cache.
 *
 * @param server the backend server
 * @param cachedTokens the expected number of the prompt's tokens in its cache
 * @param sameDomain whether it is in the failure domain of the importing server
 */
public record KvSource(BackendServerId server, double cachedTokens, boolean sameDomain) {

	public KvSource {
		Preconditions.notNull(server, "server");
		Preconditions.check(cachedTokens >= 0, "cachedTokens must not be negative: %s", cachedTokens);
	}

}
