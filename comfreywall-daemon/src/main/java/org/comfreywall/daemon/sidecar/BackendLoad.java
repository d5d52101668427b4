package org.comfreywall.daemon.sidecar;

import org.comfreywall.common.util.Preconditions;

/**
 * The load that a backend server reports.
 *
 * @param running the requests that run
 * @param queuedTokens the prompt tokens still to be computed
 */
record BackendLoad(int running, long queuedTokens) {

	/** No load. */
	static final BackendLoad IDLE = new BackendLoad(0, 0);

	BackendLoad {
		Preconditions.check(running >= 0, "running must not be negative: %d", running);
		Preconditions.check(queuedTokens >= 0, "queuedTokens must not be negative: %d", queuedTokens);
	}

}
