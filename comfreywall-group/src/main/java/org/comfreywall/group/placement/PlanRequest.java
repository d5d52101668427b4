package org.comfreywall.group.placement;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;

/**
 * Asks for a plan.
 *
 * @param group the group
 * @param shape the group's shape; a rank that must hold no expert has no slots
 * @param present the present placement
 * @param popularity the forecast traffic of each expert, for each layer; is not changed
 * @param speeds the speed of each rank, 1 for a healthy one; is not changed
 * @param changed for each layer whether its popularity or the speeds changed beyond noise
 * since the last plan; traffic of other layers is split anew, but their experts stay
 * @param cause why the plan is asked for, for the decision record
 */
public record PlanRequest(GroupId group, GroupShape shape, Placement present, double[][] popularity, double[] speeds,
		boolean[] changed, String cause) {

	public PlanRequest {
		Preconditions.notNull(group, "group");
		Preconditions.notNull(shape, "shape");
		Preconditions.notNull(present, "present");
		Preconditions.notBlank(cause, "cause");
		Preconditions.check(present.layers() == shape.layers(), "present must have %d layers: %d", shape.layers(),
				present.layers());
		Preconditions.check(popularity.length == shape.layers(), "popularity must have %d layers: %d", shape.layers(),
				popularity.length);
		Preconditions.check(speeds.length == shape.ranks(), "speeds must name %d ranks: %d", shape.ranks(),
				speeds.length);
		Preconditions.check(changed.length == shape.layers(), "changed must have %d layers: %d", shape.layers(),
				changed.length);
	}

}
