package org.comfreywall.control.spread;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A heartbeat from a parent to a child. It passes on the leader's latest beat and
 * acknowledges the child's reports.
 *
 * @param rootTerm the term of the leader that sent the latest beat received by the parent
 * @param rootSequence the sequence number of that beat within its term
 * @param configuration the parent's position in the configuration stream
 * @param members the parent's position in the membership stream
 * @param reportsReceived the sequence number of the last report received from the child
 */
public record Beat(Term rootTerm, long rootSequence, Position configuration, Position members,
		long reportsReceived) implements SpreadMessage {

	public Beat {
		Preconditions.notNull(rootTerm, "rootTerm");
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(members, "members");
	}

}
