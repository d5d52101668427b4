package org.comfreywall.control.state;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * The change was accepted, or would be in a dry run. The submitter of an accepted change
 * receives this answer only once the change is durable on a quorum.
 *
 * @param revision the revision that the change creates
 */
public record ChangeAccepted(Revision revision) implements ChangeAnswer {

	public ChangeAccepted {
		Preconditions.notNull(revision, "revision");
	}

}
