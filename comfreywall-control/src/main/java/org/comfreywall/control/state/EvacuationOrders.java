package org.comfreywall.control.state;

import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * The failure domains that operators have ordered to evacuate.
 *
 * @param version the number of commands that have changed the set; 0 without any
 * @param domains the evacuated failure domains
 */
public record EvacuationOrders(long version, Set<String> domains) {

	/** No failure domain was ever evacuated. */
	public static final EvacuationOrders NONE = new EvacuationOrders(0, Set.of());

	public EvacuationOrders {
		Preconditions.check(version >= 0, "version must not be negative: %d", version);
		domains = Set.copyOf(domains);
	}

	/**
	 * Returns whether these orders replace others.
	 * @param other the other orders
	 * @return {@code true} if the version is higher
	 */
	public boolean replaces(EvacuationOrders other) {
		return this.version > other.version;
	}

}
