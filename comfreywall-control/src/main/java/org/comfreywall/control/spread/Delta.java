package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The changes between two versions of a stream.
 *
 * @param from the version to which the changes must be applied
 * @param to the version after the changes
 * @param changes the changed entries
 */
public record Delta(Version from, Version to, List<EntryChange> changes) {

	public Delta {
		Preconditions.notNull(from, "from");
		Preconditions.notNull(to, "to");
		Preconditions.check(from.isBefore(to), "to must be after from: from=%s, to=%s", from, to);
		changes = List.copyOf(changes);
	}

}
