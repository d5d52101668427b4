package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;

/**
 * A write to the decision ledger.
 */
public sealed interface LedgerWrite permits OpenTerm, InstallMap, AssignMember, CommitSwitch, AbortSwitch {

	/**
	 * Returns the term of the coordinator that writes.
	 * @return the term
	 */
	Term term();

}
