package org.comfreywall.sidecar.attempt;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;

/**
 * The running attempts and the isolated attempt, which runs alone or waits until no other
 * attempt runs.
 */
final class RunningAttempts {

	private final Invariants invariants;

	private final AttemptCommandQueue commands;

	/** Running attempts; at most {@link AttemptRegistrySettings#maxRunning()}. */
	private final Map<RequestId, AttemptRecord> running = new LinkedHashMap<>();

	private Optional<AttemptRecord> isolated = Optional.empty();

	RunningAttempts(Invariants invariants, AttemptCommandQueue commands) {
		this.invariants = invariants;
		this.commands = commands;
	}

	void startOrQueue(AttemptRecord record) {
		if (record.traits().isolated()) {
			this.isolated = Optional.of(record);
		}
		if (!record.traits().isolated() || this.running.isEmpty()) {
			startRun(record);
		}
	}

	void remove(AttemptRecord record) {
		this.running.remove(record.attempt().request());
		if (this.isolated.filter((attempt) -> attempt == record).isPresent()) {
			this.isolated = Optional.empty();
		}
		if (this.running.isEmpty()) {
			findQueued().ifPresent(this::startRun);
		}
	}

	boolean hasIsolated() {
		return this.isolated.isPresent();
	}

	Optional<AttemptRecord> findQueued() {
		return this.isolated.filter((record) -> record.state() == AttemptState.QUEUED);
	}

	Optional<AttemptRecord> find(AttemptId attempt) {
		return Optional.ofNullable(this.running.get(attempt.request()))
			.filter((record) -> record.attempt().equals(attempt));
	}

	List<AttemptRecord> all() {
		return List.copyOf(this.running.values());
	}

	int size() {
		return this.running.size();
	}

	private void startRun(AttemptRecord record) {
		AttemptId attempt = record.attempt();
		boolean first = record.state() == AttemptState.QUEUED;
		if (this.invariants.holds(first, "attempt-runs-once", Field.of("attempt", attempt))) {
			record.markStarted();
			this.running.put(attempt.request(), record);
			this.commands.add(new StartRun(attempt));
		}
	}

}
