package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The changes between two versions of a stream.
 *
 * @param from the version to which the changes apply
 * @param to the resulting version
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
