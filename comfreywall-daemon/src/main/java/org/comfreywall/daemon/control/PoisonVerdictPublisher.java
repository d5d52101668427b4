package org.comfreywall.daemon.control;

import java.util.HashMap;
import java.util.Map;

import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.ledger.PoisonEntry;
import org.comfreywall.control.state.Ledger;
import org.comfreywall.control.state.LogTime;
import org.comfreywall.control.state.ReplicatedPoison;

/**
 * Replicated ledger that makes its verdicts readable from other threads: publishes an
 * immutable copy after each change.
 */
final class PoisonVerdictPublisher implements Ledger {

	private final ReplicatedPoison replicated;

	private volatile Map<Fingerprint, PoisonVerdict> verdicts = Map.of();

	PoisonVerdictPublisher(ReplicatedPoison replicated) {
		this.replicated = replicated;
	}

	PoisonVerdict verdict(Fingerprint fingerprint) {
		return this.verdicts.getOrDefault(fingerprint, PoisonVerdict.CLEAR);
	}

	@Override
	public String name() {
		return this.replicated.name();
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		Bytes answer = this.replicated.apply(time, command);
		publish();
		return answer;
	}

	@Override
	public Bytes query(Bytes query) {
		return this.replicated.query(query);
	}

	@Override
	public Bytes snapshot() {
		return this.replicated.snapshot();
	}

	@Override
	public void restore(Bytes snapshot) {
		this.replicated.restore(snapshot);
		publish();
	}

	private void publish() {
		Map<Fingerprint, PoisonVerdict> updated = new HashMap<>();
		for (PoisonEntry entry : this.replicated.ledger().snapshot().entries()) {
			updated.put(entry.fingerprint(), this.replicated.ledger().assess(entry.fingerprint()));
		}
		this.verdicts = Map.copyOf(updated);
	}

}
