package org.comfreywall.gateway.fleet;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * A process of the fleet.
 *
 * @param instance the name of its instance
 * @param address the address where it accepts connections from its peers
 * @param domain its failure domain
 * @param incarnation the number of its current incarnation, which each restart increases
 * @param storageId the identifier of its data folder; 0 if it has none
 * @param commandFormat the ordinal of the newest {@link CommandFormat} that it applies
 */
public record FleetPeer(String instance, HostPort address, String domain, long incarnation, long storageId,
		int commandFormat) {

	public FleetPeer {
		Preconditions.notBlank(instance, "instance");
		Preconditions.notNull(address, "address");
		Preconditions.notNull(domain, "domain");
	}

	/**
	 * Creates a process that applies the commands of this version.
	 * @param instance the name of its instance
	 * @param address the address where it accepts connections from its peers
	 * @param domain its failure domain
	 * @param incarnation the number of its current incarnation
	 * @param storageId the identifier of its data folder; 0 if it has none
	 */
	public FleetPeer(String instance, HostPort address, String domain, long incarnation, long storageId) {
		this(instance, address, domain, incarnation, storageId, CommandFormat.NEWEST.ordinal());
	}

	/**
	 * Returns whether the process stores data on disk.
	 * @return {@code true} if it has a data folder
	 */
	public boolean isDurable() {
		return this.storageId != 0;
	}

}
