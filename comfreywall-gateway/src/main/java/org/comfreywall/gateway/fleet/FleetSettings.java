package org.comfreywall.gateway.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of a process that are needed to join its fleet.
 *
 * @param instance the name of its instance
 * @param domain its failure domain
 * @param address the address where it accepts connections from its peers
 * @param seeds the addresses that it first connects to, the same on all processes at the
 * first start
 * @param dataFolder the data folder, or empty if it has no disk
 * @param firstStart whether the whole fleet starts for the first time
 * @param toleratedLosses the number of processes with a disk that may be lost at the same
 * time
 */
public record FleetSettings(String instance, String domain, HostPort address, List<HostPort> seeds,
		Optional<Path> dataFolder, boolean firstStart, int toleratedLosses) {

	public FleetSettings {
		Preconditions.notBlank(instance, "instance");
		Preconditions.notNull(domain, "domain");
		Preconditions.notNull(address, "address");
		seeds = List.copyOf(seeds);
		Preconditions.notNull(dataFolder, "dataFolder");
		Preconditions.check(toleratedLosses >= 0, "toleratedLosses must not be negative: %d", toleratedLosses);
	}

	/**
	 * Returns the number of voters of which a majority remains after the tolerated
	 * losses.
	 * @return the target number of voters
	 */
	public int targetVoters() {
		return 2 * this.toleratedLosses + 1;
	}

	/**
	 * Returns a copy of these settings with other seeds.
	 * @param changed the seeds
	 * @return the settings
	 */
	public FleetSettings withSeeds(List<HostPort> changed) {
		return new FleetSettings(this.instance, this.domain, this.address, changed, this.dataFolder, this.firstStart,
				this.toleratedLosses);
	}

}
