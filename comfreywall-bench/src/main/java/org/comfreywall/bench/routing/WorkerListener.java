package org.comfreywall.bench.routing;

import org.comfreywall.entry.prefix.CacheEvent;

/**
 * Receives what happens on a worker.
 */
interface WorkerListener {

	void onFirstToken(int worker, Sequence sequence, long now);

	void onFinished(int worker, Sequence sequence, long now);

	void onCacheEvent(int worker, CacheEvent event, long now);

}
