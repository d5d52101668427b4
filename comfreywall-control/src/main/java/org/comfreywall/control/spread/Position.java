package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * Tells which state of a stream a node holds.
 *
 * @param version the state's version
 * @param digest the digest of the state's entries
 */
public record Position(Version version, long digest) {

	/** The position of a node that holds nothing. */
	public static final Position ZERO = new Position(Version.ZERO, 0);

	public Position {
		Preconditions.notNull(version, "version");
	}

}
