package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * An advised change of one group's role.
 *
 * @param from the current role of the group
 * @param to the new role of the group, different from {@code from}
 * @param reason a human-readable reason
 */
public record RoleChange(GroupRole from, GroupRole to, String reason) {

	public RoleChange {
		Preconditions.notNull(from, "from");
		Preconditions.check(from != to, "to must differ from 'from': %s", to);
		Preconditions.notBlank(reason, "reason");
	}

}
