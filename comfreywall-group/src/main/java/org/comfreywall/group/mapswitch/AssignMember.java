package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Gives a rank to a member, in place of the one that had it.
 *
 * @param term the coordinator's term
 * @param rank the rank
 * @param member the new member, never one that was replaced before
 */
public record AssignMember(Term term, int rank, Member member) implements LedgerWrite {

	public AssignMember {
		Preconditions.notNull(term, "term");
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.notNull(member, "member");
	}

}
