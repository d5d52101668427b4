package org.comfreywall.control.state;

import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.util.Preconditions;

/**
 * The change that was accepted in place of another one.
 *
 * @param change the change
 * @param author who submitted it
 */
public record ChangeWinner(ChangeId change, String author) {

	public ChangeWinner {
		Preconditions.notNull(change, "change");
		Preconditions.notNull(author, "author");
	}

}
