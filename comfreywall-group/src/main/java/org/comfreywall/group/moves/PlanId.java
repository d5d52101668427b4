package org.comfreywall.group.moves;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a plan of one group.
 *
 * @param group the group
 * @param number the plan's number, greater for later plans of the group
 */
public record PlanId(GroupId group, long number) {

	public PlanId {
		Preconditions.notNull(group, "group");
		Preconditions.check(number >= 0, "number must not be negative: %d", number);
	}

	@Override
	public String toString() {
		return this.group + "/" + this.number;
	}

}
