package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.util.Preconditions;

/**
 * A connection from an entry was lost.
 *
 * @param link the connection
 */
public record LinkLost(EntryLink link) implements AttemptEvent {

	public LinkLost {
		Preconditions.notNull(link, "link");
	}

}
