package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A message to a child, or to a node that tried to become one, with the candidates for
 * its parent.
 *
 * @param parents the candidates, in order of preference
 * @param preferred the number of preferred candidates; the candidates after them are
 * fallbacks
 * @param adopted whether the sender has accepted the receiver as a child
 */
public record ParentList(List<NodeDescriptor> parents, int preferred, boolean adopted) implements SpreadMessage {

	/** No candidates, and the receiver is not accepted as a child. */
	public static final ParentList NONE = new ParentList(List.of(), 0, false);

	public ParentList {
		parents = List.copyOf(parents);
		Preconditions.check(preferred >= 0 && preferred <= parents.size(),
				"preferredCount must be between 0 and the number of candidates: %d", preferred);
	}

	ParentList withAdopted(boolean accepted) {
		return new ParentList(this.parents, this.preferred, accepted);
	}

}
