package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * A node's position in a stream: the version of its replica and a digest. Replicas that
 * have the same version but different digests have diverged.
 *
 * @param version the version of the replica
 * @param digest the digest of the replica's entries
 */
public record StreamPosition(Version version, long digest) {

	/** The position before the first update. */
	public static final StreamPosition ZERO = new StreamPosition(Version.ZERO, 0);

	public StreamPosition {
		Preconditions.notNull(version, "version");
	}

}
