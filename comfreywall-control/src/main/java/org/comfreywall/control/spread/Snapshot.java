package org.comfreywall.control.spread;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * The complete state of a stream at one version.
 *
 * @param version the version
 * @param entries the values of all entries by key
 */
public record Snapshot(Version version, Map<String, Bytes> entries) {

	public Snapshot {
		Preconditions.notNull(version, "version");
		entries = Collections.unmodifiableMap(new HashMap<>(entries));
	}

}
