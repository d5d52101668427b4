package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Gives up an attempt, of this term or an older one.
 *
 * @param term the term of the coordinator that writes
 * @param id the attempt
 */
public record AbortSwitch(Term term, SwitchId id) implements LedgerWrite {

	public AbortSwitch {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(id, "id");
		Preconditions.check(!term.isBefore(id.term()), "id must not be of a later term than %s: %s", term, id);
	}

}
