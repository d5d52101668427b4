package org.comfreywall.control.spread;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A heartbeat from a parent to a child. It carries the term and sequence number of the
 * leader's latest heartbeat, which shows that the parent is connected to the leader, and
 * acknowledges the child's reports.
 *
 * @param rootTerm the term of the latest leader heartbeat that the parent has sent or
 * received
 * @param rootSequence the sequence number of that heartbeat within its term
 * @param configuration the parent's position in the configuration stream
 * @param members the parent's position in the membership stream
 * @param receivedReportSequence the sequence number of the last report that the parent
 * has received from the child
 */
public record ParentHeartbeat(Term rootTerm, long rootSequence, StreamPosition configuration, StreamPosition members,
		long receivedReportSequence) implements RelayTreeMessage {

	public ParentHeartbeat {
		Preconditions.notNull(rootTerm, "rootTerm");
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(members, "members");
	}

}
