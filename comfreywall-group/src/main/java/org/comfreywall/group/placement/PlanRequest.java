package org.comfreywall.group.placement;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;

/**
 * The input of the placement planner.
 *
 * @param group the group
 * @param shape the group's shape; a rank that must not hold experts has no slots
 * @param current the current placement
 * @param popularity the forecast traffic of each expert, for each layer; not modified
 * @param speeds the speed of each rank, 1 for a healthy one; not modified
 * @param changed for each layer whether its popularity or the speeds changed beyond noise
 * since the last plan; other layers only have their traffic redistributed, unless they
 * lost copies
 * @param cause what triggered the request, for the decision record
 */
public record PlanRequest(GroupId group, GroupShape shape, Placement current, double[][] popularity, double[] speeds,
		boolean[] changed, String cause) {

	public PlanRequest {
		Preconditions.notNull(group, "group");
		Preconditions.notNull(shape, "shape");
		Preconditions.notNull(current, "current");
		Preconditions.notBlank(cause, "cause");
		Preconditions.check(current.layers() == shape.layers(), "current must have %d layers: %d", shape.layers(),
				current.layers());
		Preconditions.check(popularity.length == shape.layers(), "popularity must have %d layers: %d", shape.layers(),
				popularity.length);
		Preconditions.check(speeds.length == shape.ranks(), "speeds must have %d ranks: %d", shape.ranks(),
				speeds.length);
		Preconditions.check(changed.length == shape.layers(), "changed must have %d layers: %d", shape.layers(),
				changed.length);
	}

}
