package org.comfreywall.control.log;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * What an instance must remember about elections.
 *
 * @param term the newest term seen
 * @param votedFor the instance that received the vote in this term
 */
public record HardState(Term term, Optional<InstanceId> votedFor) {

	/** The state of an instance that has seen no election. */
	public static final HardState INITIAL = new HardState(Term.ZERO, Optional.empty());

	public HardState {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(votedFor, "votedFor");
	}

}
