package org.comfreywall.control.state;

import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * A change in the history of the configuration.
 *
 * @param revision the revision that it made
 * @param change the change
 * @param author who submitted it
 * @param reason why
 * @param time the log time at which it was accepted
 * @param forward the difference from the revision before
 * @param backward the difference back to the revision before
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
