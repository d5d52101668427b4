package org.comfreywall.control.spread;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * A whole state of a stream.
 *
 * @param version the state's version
 * @param entries all entries
 */
public record Snapshot(Version version, Map<String, Bytes> entries) {

	public Snapshot {
		Preconditions.notNull(version, "version");
		entries = Collections.unmodifiableMap(new HashMap<>(entries));
	}

}
