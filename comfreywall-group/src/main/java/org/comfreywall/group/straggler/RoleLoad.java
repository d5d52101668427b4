package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * The offered load of all groups of one role in one window.
 *
 * @param groups the number of groups
 * @param demand the work that arrived in the window, as the number of groups that it
 * would fully occupy
 */
public record RoleLoad(int groups, double demand) {

	public RoleLoad {
		Preconditions.check(groups >= 0, "groups must not be negative: %d", groups);
		Preconditions.check(demand >= 0, "demand must not be negative: %s", demand);
	}

	/**
	 * Returns the ratio of demand to the number of groups.
	 * @return the utilisation, above 1 if the role is overloaded; infinite if there is
	 * demand but no group
	 */
	public double utilisation() {
		return (this.demand == 0) ? 0 : this.demand / this.groups;
	}

	RoleLoad withGroups(int change) {
		return new RoleLoad(this.groups + change, this.demand);
	}

}
