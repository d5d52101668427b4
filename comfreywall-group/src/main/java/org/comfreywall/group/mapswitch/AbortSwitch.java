package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Aborts an attempt of this term or an earlier one.
 *
 * @param term the term of the writing coordinator
 * @param id the attempt
 */
public record AbortSwitch(Term term, SwitchId id) implements LedgerWrite {

	public AbortSwitch {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(id, "id");
		Preconditions.check(!term.isBefore(id.term()), "id must not belong to a term later than %s: %s", term, id);
	}

}
