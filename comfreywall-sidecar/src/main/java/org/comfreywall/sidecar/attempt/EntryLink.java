package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies one connection from an entry.
 *
 * @param entry the entry
 * @param connection the number of the connection, unique within an incarnation of the
 * sidecar
 */
public record EntryLink(InstanceId entry, long connection) {

	public EntryLink {
		Preconditions.notNull(entry, "entry");
	}

}
