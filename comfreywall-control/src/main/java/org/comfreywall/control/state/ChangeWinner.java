package org.comfreywall.control.state;

import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.util.Preconditions;

/**
 * The change that was accepted on the revision that a conflicting change expected.
 *
 * @param change the id of the accepted change
 * @param author the operator who submitted it
 */
public record ChangeWinner(ChangeId change, String author) {

	public ChangeWinner {
		Preconditions.notNull(change, "change");
		Preconditions.notNull(author, "author");
	}

}
