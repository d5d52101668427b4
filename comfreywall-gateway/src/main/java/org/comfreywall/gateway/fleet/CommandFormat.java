package org.comfreywall.gateway.fleet;

import java.util.Collection;

/**
 * Formats of the commands of the replicated log, in the order in which versions of this
 * program introduced them.
 * <p>
 * All replicas must apply a command in the same way. A process therefore proposes
 * commands of a format only while no replica of an older version is known, which would
 * apply them differently or not at all.
 */
enum CommandFormat {

	/** Commands of versions that did not state a format. */
	INITIAL,

	/** Orders of evacuation state the version that was known when they were given. */
	VERSIONED_EVACUATIONS,

	/** There is a ledger of the evidence against requests that crash backend servers. */
	POISON_EVIDENCE;

	/** The newest format that this version applies. */
	static final CommandFormat NEWEST = values()[values().length - 1];

	/**
	 * Returns whether all processes with a disk apply commands of this format.
	 * @param peers the other processes
	 * @return {@code true} if each of those with a disk has stated this format or a newer
	 * one
	 */
	boolean isSupportedBy(Collection<FleetPeer> peers) {
		return peers.stream().filter(FleetPeer::isDurable).allMatch((peer) -> peer.commandFormat() >= ordinal());
	}

}
