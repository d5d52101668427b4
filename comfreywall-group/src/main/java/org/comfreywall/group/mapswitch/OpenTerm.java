package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Starts a coordinator's term; the ledger rejects writes of earlier terms afterwards.
 *
 * @param term the term
 */
public record OpenTerm(Term term) implements LedgerWrite {

	public OpenTerm {
		Preconditions.notNull(term, "term");
	}

}
