package org.comfreywall.control.state;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * The change is durable on a quorum.
 *
 * @param revision the revision that it made
 */
public record ChangeAccepted(Revision revision) implements ChangeAnswer {

	public ChangeAccepted {
		Preconditions.notNull(revision, "revision");
	}

}
