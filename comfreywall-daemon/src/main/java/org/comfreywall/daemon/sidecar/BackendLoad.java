package org.comfreywall.daemon.sidecar;

import org.comfreywall.common.util.Preconditions;

/**
 * The load that a backend server reports.
 *
 * @param running the number of running requests
 * @param queuedTokens the number of prompt tokens not yet processed
 */
record BackendLoad(int running, long queuedTokens) {

	/** The load assumed until the backend server has reported one. */
	static final BackendLoad IDLE = new BackendLoad(0, 0);

	BackendLoad {
		Preconditions.check(running >= 0, "running must not be negative: %d", running);
		Preconditions.check(queuedTokens >= 0, "queuedTokens must not be negative: %d", queuedTokens);
	}

}
