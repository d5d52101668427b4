package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Leads from one state of a stream to a later one.
 *
 * @param from the version that the delta applies to
 * @param to the version that results
 * @param changes the changed entries
 */
public record Delta(Version from, Version to, List<EntryChange> changes) {

	public Delta {
		Preconditions.notNull(from, "from");
		Preconditions.notNull(to, "to");
		Preconditions.check(from.isBefore(to), "to must be after from: %s, %s", from, to);
		changes = List.copyOf(changes);
	}

}
