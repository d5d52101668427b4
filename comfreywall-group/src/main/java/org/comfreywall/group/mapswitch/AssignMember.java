package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Assigns a rank to a member and replaces its previous member, if any.
 *
 * @param term the coordinator's term
 * @param rank the rank
 * @param member the new member; an incarnation that was already assigned to a rank is
 * rejected
 */
public record AssignMember(Term term, int rank, Member member) implements LedgerWrite {

	public AssignMember {
		Preconditions.notNull(term, "term");
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.notNull(member, "member");
	}

}
