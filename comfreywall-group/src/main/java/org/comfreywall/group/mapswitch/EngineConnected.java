package org.comfreywall.group.mapswitch;

import java.util.Optional;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * The engine answered on a new connection; all previous connections to it are closed.
 *
 * @param lastStep the last step the engine was allowed to start, or -1 for a new engine
 * @param active the map under which that step ran
 * @param staged another map whose weights are also loaded
 */
public record EngineConnected(long lastStep, Optional<MapRef> active, Optional<MapRef> staged) implements AgentEvent {

	public EngineConnected {
		Preconditions.notNull(active, "active");
		Preconditions.notNull(staged, "staged");
	}

}
