package org.comfreywall.sidecar.attempt;

import java.util.Optional;

import org.comfreywall.common.attempt.AttemptRefusal;

/**
 * Decides whether a new attempt may run.
 */
final class AttemptAdmission {

	private final AttemptRegistrySettings settings;

	private final AttemptStore store;

	private final RunningAttempts runs;

	AttemptAdmission(AttemptRegistrySettings settings, AttemptStore store, RunningAttempts runs) {
		this.settings = settings;
		this.store = store;
		this.runs = runs;
	}

	Optional<AttemptRefusal> findRefusal(StartReceived start, boolean isRetry, boolean draining, long now) {
		long window = start.target().window();
		if (this.store.hasStartedClaim(start.attempt().request())) {
			return Optional.of(AttemptRefusal.ALREADY_RUNNING);
		}
		if (!isRetry && this.store.mayHaveExpired(window)) {
			return Optional.of(AttemptRefusal.STALE_WINDOW);
		}
		if (!isRetry && this.store.isClosed(window)) {
			return Optional.of(AttemptRefusal.SEALED);
		}
		if (draining) {
			return Optional.of(AttemptRefusal.DRAINING);
		}
		if (isAtCapacity(start)) {
			this.store.storeSeal(AttemptRecord.sealed(start.attempt()), now);
			return Optional.of(AttemptRefusal.BUSY);
		}
		return Optional.empty();
	}

	private boolean isAtCapacity(StartReceived start) {
		return this.runs.hasIsolated() || this.runs.size() >= this.settings.maxRunning()
				|| !this.store.hasRoom(start.traits().claimed());
	}

}
