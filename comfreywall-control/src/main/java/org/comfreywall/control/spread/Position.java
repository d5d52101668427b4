package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * The version of a stream that a node has, with a digest to detect divergence at the same
 * version.
 *
 * @param version the state's version
 * @param digest the digest of the state's entries
 */
public record Position(Version version, long digest) {

	/** The position before the first update. */
	public static final Position ZERO = new Position(Version.ZERO, 0);

	public Position {
		Preconditions.notNull(version, "version");
	}

}
