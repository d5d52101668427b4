package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;

/**
 * A write to the {@link DecisionLedger}.
 */
public sealed interface LedgerWrite permits OpenTerm, InstallMap, AssignMember, CommitSwitch, AbortSwitch {

	/**
	 * Returns the term of the writing coordinator.
	 * @return the term
	 */
	Term term();

}
