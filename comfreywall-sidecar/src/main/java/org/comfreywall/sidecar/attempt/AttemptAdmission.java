package org.comfreywall.sidecar.attempt;

import java.util.Optional;

import org.comfreywall.common.attempt.AttemptRefusal;

/**
 * Decides whether a new attempt may run.
 */
final class AttemptAdmission {

	private final AttemptRegistrySettings settings;

	private final AttemptStore store;

	private final RunningAttempts runningAttempts;

	AttemptAdmission(AttemptRegistrySettings settings, AttemptStore store, RunningAttempts runningAttempts) {
		this.settings = settings;
		this.store = store;
		this.runningAttempts = runningAttempts;
	}

	/**
	 * Checks whether an attempt may run. Seals the attempt if it is refused as
	 * {@link AttemptRefusal#BUSY}.
	 * @param start the request to run the attempt
	 * @param isRetry whether an earlier attempt of the request is stored that permits
	 * this one
	 * @param draining whether the backend server is being drained
	 * @param now the time in nanoseconds
	 * @return the reason why the attempt must not run, or empty if it may
	 */
	Optional<AttemptRefusal> checkStart(StartReceived start, boolean isRetry, boolean draining, long now) {
		long window = start.target().window();
		if (this.store.hasStartedClaim(start.attempt().request())) {
			// A claimed attempt of the request has run, and its record has expired. The
			// refusal does not prove that this attempt has not run.
			return Optional.of(AttemptRefusal.ALREADY_RUNNING);
		}
		// The windows matter only if no attempt of the request is stored. A retry is
		// checked against the stored attempt instead.
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
			// BUSY proves that the attempt never runs, so later copies are refused too.
			this.store.storeSeal(AttemptRecord.sealed(start.attempt()), now);
			return Optional.of(AttemptRefusal.BUSY);
		}
		return Optional.empty();
	}

	private boolean isAtCapacity(StartReceived start) {
		return this.runningAttempts.hasIsolated() || this.runningAttempts.size() >= this.settings.maxRunning()
				|| !this.store.hasRoom(start.traits().claimed());
	}

}
