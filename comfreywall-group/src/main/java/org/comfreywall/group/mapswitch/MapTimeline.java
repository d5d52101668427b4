package org.comfreywall.group.mapswitch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * The committed map boundaries, oldest first.
 * <p>
 * Only the latest {@value #LIMIT} are kept. That suffices because a switch is armed only
 * after every rank has started a step under the map of the previous boundary.
 *
 * @param boundaries the boundaries in ascending order of their first step
 */
public record MapTimeline(List<MapBoundary> boundaries) {

	/** Maximum number of boundaries kept. */
	public static final int LIMIT = 4;

	/** A timeline without a map. */
	public static final MapTimeline EMPTY = new MapTimeline(List.of());

	public MapTimeline {
		Preconditions.notNull(boundaries, "boundaries");
		boundaries = List.copyOf(boundaries);
		Preconditions.check(boundaries.size() <= LIMIT, "boundaries must not exceed %d entries: %d", LIMIT,
				boundaries.size());
		for (int i = 1; i < boundaries.size(); i++) {
			Preconditions.check(boundaries.get(i - 1).firstStep() < boundaries.get(i).firstStep(),
					"boundaries must be in ascending order of their first step: %s", boundaries);
		}
	}

	/**
	 * Appends a boundary and drops the oldest one if the limit is exceeded.
	 * @param boundary the new boundary, with a later first step than all others
	 * @return the extended timeline
	 */
	public MapTimeline with(MapBoundary boundary) {
		List<MapBoundary> extended = new ArrayList<>(this.boundaries);
		extended.add(boundary);
		return new MapTimeline(extended.subList(Math.max(0, extended.size() - LIMIT), extended.size()));
	}

	/**
	 * Returns the map under which a step runs.
	 * @param step the step
	 * @return its map, or empty if the step is before the oldest boundary kept
	 */
	public Optional<MapRef> mapAt(long step) {
		for (int i = this.boundaries.size() - 1; i >= 0; i--) {
			if (this.boundaries.get(i).firstStep() <= step) {
				return Optional.of(this.boundaries.get(i).map());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the latest boundary.
	 * @return the boundary, or empty if there is none
	 */
	public Optional<MapBoundary> last() {
		return this.boundaries.isEmpty() ? Optional.empty()
				: Optional.of(this.boundaries.get(this.boundaries.size() - 1));
	}

	/**
	 * Finds the boundary that an attempt committed.
	 * @param id the attempt
	 * @return the boundary, or empty if none of those kept belongs to the attempt
	 */
	public Optional<MapBoundary> findByAttempt(SwitchId id) {
		return this.boundaries.stream().filter((boundary) -> boundary.attemptId().equals(id)).findFirst();
	}

}
