package org.comfreywall.gateway.http;

import java.util.Optional;

import org.comfreywall.gateway.pool.KnownEntries;

/**
 * The state of the fleet that a gateway depends on.
 */
public interface FleetView {

	/**
	 * Returns the number of entries that send requests to the same backend servers.
	 * @return the count, including this one
	 */
	int entries();

	/**
	 * Returns the entries among which the rate of a cold server is divided.
	 * @return all entries that may send requests, also those that are silent; empty while
	 * other entries may exist that are not known yet
	 */
	default Optional<KnownEntries> knownEntries() {
		return Optional.of(KnownEntries.ALONE);
	}

	/**
	 * Returns whether the configuration of this process is up to date.
	 * @return {@code false} if the process may be partitioned from the fleet and miss a
	 * newer version
	 */
	boolean isCurrent();

	/**
	 * Returns whether a key is assigned to this entry.
	 * @param key the key
	 * @return {@code true} at one of the entries that send requests to the same backend
	 * servers
	 */
	boolean isAssigned(String key);

}
