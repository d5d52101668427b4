package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A message to a child, or to a node that tried to become one, with the candidates for
 * its parent.
 *
 * @param nodes the candidates, in order of preference
 * @param preferredCount the number of preferred candidates; the candidates after them are
 * fallbacks
 * @param accepted whether the sender has accepted the receiver as a child
 */
public record ParentCandidates(List<NodeDescriptor> nodes, int preferredCount,
		boolean accepted) implements RelayTreeMessage {

	/** No candidates, and the receiver is not accepted as a child. */
	public static final ParentCandidates NONE = new ParentCandidates(List.of(), 0, false);

	public ParentCandidates {
		nodes = List.copyOf(nodes);
		Preconditions.check(preferredCount >= 0 && preferredCount <= nodes.size(),
				"preferredCount must be between 0 and the number of candidates: %d", preferredCount);
	}

	ParentCandidates withAccepted(boolean accepted) {
		return new ParentCandidates(this.nodes, this.preferredCount, accepted);
	}

}
