package org.comfreywall.bench.mapswitch;

import java.util.Optional;

import org.comfreywall.group.map.MapRef;

/**
 * What a stand-in engine needs of the group around it.
 */
interface EngineEnvironment {

	long now();

	long completed();

	void started(long step, Optional<MapRef> weights, long waitedNanos);

	void load(Runnable done);

}
