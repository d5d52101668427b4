package org.comfreywall.sidecar.attempt;

import java.util.Optional;

import org.comfreywall.common.attempt.AttemptRefusal;

/**
 * Decides whether a new attempt may run.
 */
final class AttemptAdmission {

	private final AttemptRegistrySettings settings;

	private final AttemptStore store;

	private final AttemptRuns runs;

	AttemptAdmission(AttemptRegistrySettings settings, AttemptStore store, AttemptRuns runs) {
		this.settings = settings;
		this.store = store;
		this.runs = runs;
	}

	Optional<AttemptRefusal> refusal(StartReceived start, boolean isRetry, boolean draining, long now) {
		long window = start.target().window();
		if (this.store.hasRunClaimed(start.attempt().request())) {
			return Optional.of(AttemptRefusal.ALREADY_RUNNING);
		}
		if (!isRetry && this.store.mayHaveForgotten(window)) {
			return Optional.of(AttemptRefusal.STALE_WINDOW);
		}
		if (!isRetry && this.store.isClosed(window)) {
			return Optional.of(AttemptRefusal.SEALED);
		}
		if (draining) {
			return Optional.of(AttemptRefusal.DRAINING);
		}
		if (isBusy(start)) {
			this.store.seal(AttemptRecord.sealed(start.attempt()), now);
			return Optional.of(AttemptRefusal.BUSY);
		}
		return Optional.empty();
	}

	private boolean isBusy(StartReceived start) {
		return this.runs.hasSuspect() || this.runs.size() >= this.settings.maxRunning()
				|| !this.store.hasRoom(start.traits().claimed());
	}

}
