package org.comfreywall.control.spread;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Tells a child that its parent lives and how fresh the parent's link to the leader is.
 *
 * @param rootTerm the term of the leader whose beat the parent heard last
 * @param rootSequence the number of that beat
 * @param configuration the parent's position in the configuration
 * @param members the parent's position in the members
 * @param reportsReceived the number of the child's last report that the parent holds
 */
public record Beat(Term rootTerm, long rootSequence, Position configuration, Position members,
		long reportsReceived) implements SpreadMessage {

	public Beat {
		Preconditions.notNull(rootTerm, "rootTerm");
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(members, "members");
	}

}
