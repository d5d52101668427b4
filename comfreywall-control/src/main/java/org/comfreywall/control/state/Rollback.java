package org.comfreywall.control.state;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * Restores the configuration of an earlier revision as a new revision.
 *
 * @param to the revision to restore
 */
public record Rollback(Revision to) implements ChangeContent {

	public Rollback {
		Preconditions.notNull(to, "to");
	}

}
