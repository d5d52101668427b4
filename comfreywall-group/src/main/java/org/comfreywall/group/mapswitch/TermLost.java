package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A coordinator of a later term has taken over; this one sends nothing more.
 *
 * @param later the term of the later coordinator
 */
public record TermLost(Term later) implements CoordinatorCommand {

	public TermLost {
		Preconditions.notNull(later, "later");
	}

}
