package org.comfreywall.control.log;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * The durable election state of an instance. It must be synced before the instance sends
 * a reply that depends on it.
 *
 * @param term the newest term seen
 * @param votedFor the candidate that received the vote of this instance in this term, or
 * empty if it has not voted
 */
public record HardState(Term term, Optional<InstanceId> votedFor) {

	/** The state before the first election. */
	public static final HardState INITIAL = new HardState(Term.ZERO, Optional.empty());

	public HardState {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(votedFor, "votedFor");
	}

}
