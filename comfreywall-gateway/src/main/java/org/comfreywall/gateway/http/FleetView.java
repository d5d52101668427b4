package org.comfreywall.gateway.http;

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
