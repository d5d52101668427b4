package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * The membership in force from this entry on.
 *
 * @param membership the members
 */
public record MembershipContent(Membership membership) implements EntryContent {

	public MembershipContent {
		Preconditions.notNull(membership, "membership");
	}

}
