package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * Advises that one group changes its role.
 *
 * @param from the role that gives a group
 * @param to the role that gets it
 * @param reason why, for people
 */
public record RoleChange(GroupRole from, GroupRole to, String reason) {

	public RoleChange {
		Preconditions.notNull(from, "from");
		Preconditions.check(from != to, "to must differ from the role that gives the group: %s", to);
		Preconditions.notBlank(reason, "reason");
	}

}
