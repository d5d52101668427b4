package org.comfreywall.gateway.pool;

import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * The entries that may send requests to the same backend servers, including those that
 * have been silent for a while.
 *
 * @param self the identifier of this entry
 * @param all the identifiers of all entries, including this one
 */
public record KnownEntries(String self, Set<String> all) {

	/** A single entry. */
	public static final KnownEntries ALONE = new KnownEntries("self", Set.of("self"));

	public KnownEntries {
		Preconditions.notBlank(self, "self");
		all = Set.copyOf(all);
		Preconditions.check(all.contains(self), "all must contain this entry: %s", self);
	}

}
