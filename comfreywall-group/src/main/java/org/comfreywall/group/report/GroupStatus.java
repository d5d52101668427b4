package org.comfreywall.group.report;

import java.util.List;
import java.util.Optional;

import org.HdrHistogram.Histogram;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.life.GroupState;
import org.comfreywall.group.life.RankView;
import org.comfreywall.group.mapswitch.MapBoundary;
import org.comfreywall.group.mapswitch.SwitchPhase;

/**
 * Status of a group as shown to operators.
 *
 * @param group the group
 * @param state the group's state
 * @param map the latest committed map boundary, or empty before the first map
 * @param phase the phase of the map switch in progress
 * @param ranks one view for each rank, in order
 * @param spares the number of members without a rank
 * @param skew the step-time skew in thousandths, as returned by
 * {@link SkewMeter#snapshot()}
 */
public record GroupStatus(GroupId group, GroupState state, Optional<MapBoundary> map, SwitchPhase phase,
		List<RankView> ranks, int spares, Histogram skew) {

	public GroupStatus {
		Preconditions.notNull(group, "group");
		Preconditions.notNull(state, "state");
		Preconditions.notNull(map, "map");
		Preconditions.notNull(phase, "phase");
		ranks = List.copyOf(ranks);
		Preconditions.check(spares >= 0, "spares must not be negative: %d", spares);
		Preconditions.notNull(skew, "skew");
	}

	/**
	 * Formats the status as human-readable text.
	 * @return lines of text, each ended by a line feed
	 */
	public String toText() {
		return StatusText.format(this);
	}

}
