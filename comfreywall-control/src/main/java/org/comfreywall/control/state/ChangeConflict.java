package org.comfreywall.control.state;

import java.util.Optional;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * The change expects another revision than the one in force.
 *
 * @param revision the revision in force
 * @param winner the change that followed the expected revision, if still known
 */
public record ChangeConflict(Revision revision, Optional<ChangeWinner> winner) implements ChangeAnswer {

	public ChangeConflict {
		Preconditions.notNull(revision, "revision");
		Preconditions.notNull(winner, "winner");
	}

}
