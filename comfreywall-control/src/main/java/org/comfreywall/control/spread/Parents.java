package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Tells a node which parents to choose from, best first.
 *
 * @param parents the parents
 * @param preferred the number of parents at the head of the list that the node should
 * stay with; the others are for when those fail
 * @param adopted whether the sender has taken the node as a child
 */
public record Parents(List<NodeDescriptor> parents, int preferred, boolean adopted) implements SpreadMessage {

	/** A list without parents. */
	public static final Parents NONE = new Parents(List.of(), 0, false);

	public Parents {
		parents = List.copyOf(parents);
		Preconditions.check(preferred >= 0 && preferred <= parents.size(), "preferred must be within the list: %d",
				preferred);
	}

	Parents withAdopted(boolean adopted) {
		return new Parents(this.parents, this.preferred, adopted);
	}

}
