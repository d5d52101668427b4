package org.comfreywall.control.state;

import java.util.Optional;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * The change was rejected because its expected revision is not the current one.
 *
 * @param revision the current revision
 * @param winner the change that was accepted on the expected revision, or empty if the
 * history no longer holds it
 */
public record ChangeConflict(Revision revision, Optional<ChangeWinner> winner) implements ChangeAnswer {

	public ChangeConflict {
		Preconditions.notNull(revision, "revision");
		Preconditions.notNull(winner, "winner");
	}

}
