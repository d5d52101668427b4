package org.comfreywall.control.state;

import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * An accepted change in the history of the configuration.
 *
 * @param revision the revision that the change created
 * @param change the id of the change
 * @param author the operator who submitted the change
 * @param reason the reason that the operator gave
 * @param time the log time at which it was accepted
 * @param forward the difference from the previous revision to this one
 * @param backward the difference from this revision back to the previous one
 */
public record AcceptedChange(Revision revision, ChangeId change, String author, String reason, LogTime time,
		ConfigurationDelta forward, ConfigurationDelta backward) {

	public AcceptedChange {
		Preconditions.notNull(revision, "revision");
		Preconditions.notNull(change, "change");
		Preconditions.notNull(author, "author");
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(time, "time");
		Preconditions.notNull(forward, "forward");
		Preconditions.notNull(backward, "backward");
	}

}
