package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * Sets the first map of a newly formed group.
 *
 * @param term the coordinator's term
 * @param map the map for all steps from zero onward
 */
public record InstallMap(Term term, MapRef map) implements LedgerWrite {

	public InstallMap {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(map, "map");
	}

}
