package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The candidates for a node's parent, in order of preference.
 *
 * @param parents the candidates
 * @param preferred the number of preferred candidates at the head of the list; the others
 * are fallbacks
 * @param adopted whether the sender has accepted the node as a child
 */
public record ParentList(List<NodeDescriptor> parents, int preferred, boolean adopted) implements SpreadMessage {

	/** An empty list. */
	public static final ParentList NONE = new ParentList(List.of(), 0, false);

	public ParentList {
		parents = List.copyOf(parents);
		Preconditions.check(preferred >= 0 && preferred <= parents.size(),
				"preferred must be between 0 and the number of parents: %d", preferred);
	}

	ParentList withAdopted(boolean adopted) {
		return new ParentList(this.parents, this.preferred, adopted);
	}

}
