package org.comfreywall.group.mapswitch;

import java.util.Optional;

import org.comfreywall.group.map.MapRef;

/**
 * Tracks the maps whose weights an engine holds: the active one, and the staged one or
 * the one being loaded.
 */
final class EngineMemory {

	private Optional<MapRef> active = Optional.empty();

	private Optional<MapRef> staged = Optional.empty();

	private Optional<MapRef> loading = Optional.empty();

	void reset(Optional<MapRef> newActive, Optional<MapRef> newStaged) {
		this.active = newActive;
		this.staged = newStaged;
		this.loading = Optional.empty();
	}

	boolean holds(MapRef map) {
		return isActive(map) || isStaged(map);
	}

	boolean isActive(MapRef map) {
		return this.active.filter(map::equals).isPresent();
	}

	boolean isStaged(MapRef map) {
		return this.staged.filter(map::equals).isPresent();
	}

	boolean isLoading(MapRef map) {
		return this.loading.filter(map::equals).isPresent();
	}

	void startLoad(MapRef map) {
		this.staged = Optional.empty();
		this.loading = Optional.of(map);
	}

	boolean completeLoad(MapRef map) {
		if (!isLoading(map)) {
			return false;
		}
		this.staged = this.loading;
		this.loading = Optional.empty();
		return true;
	}

	void activate(MapRef map) {
		if (!isActive(map)) {
			this.active = Optional.of(map);
			this.staged = Optional.empty();
		}
	}

}
