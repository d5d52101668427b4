package org.comfreywall.group.map;

import org.comfreywall.common.util.Preconditions;

/**
 * Reference to an expert map by version and content digest.
 *
 * @param version the map's version
 * @param digest the SHA-256 digest of the map's content, in lower-case hexadecimal
 */
public record MapRef(MapVersion version, String digest) {

	public MapRef {
		Preconditions.notNull(version, "version");
		Preconditions.notBlank(digest, "digest");
	}

	@Override
	public String toString() {
		return this.version + "-" + this.digest.substring(0, Math.min(8, this.digest.length()));
	}

}
