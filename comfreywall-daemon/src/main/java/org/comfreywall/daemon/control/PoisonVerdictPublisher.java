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
 * Delegates to the replicated poison ledger and makes its verdicts readable from other
 * threads: publishes an immutable copy after each applied command and each restored
 * snapshot.
 */
final class PoisonVerdictPublisher implements Ledger {

	private final ReplicatedPoison delegate;

	private volatile Map<Fingerprint, PoisonVerdict> verdicts = Map.of();

	PoisonVerdictPublisher(ReplicatedPoison delegate) {
		this.delegate = delegate;
	}

	PoisonVerdict verdict(Fingerprint fingerprint) {
		return this.verdicts.getOrDefault(fingerprint, PoisonVerdict.CLEAR);
	}

	@Override
	public String name() {
		return this.delegate.name();
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		Bytes answer = this.delegate.apply(time, command);
		publish();
		return answer;
	}

	@Override
	public Bytes query(Bytes query) {
		return this.delegate.query(query);
	}

	@Override
	public Bytes snapshot() {
		return this.delegate.snapshot();
	}

	@Override
	public void restore(Bytes snapshot) {
		this.delegate.restore(snapshot);
		publish();
	}

	private void publish() {
		Map<Fingerprint, PoisonVerdict> updated = new HashMap<>();
		for (PoisonEntry entry : this.delegate.ledger().snapshot().entries()) {
			updated.put(entry.fingerprint(), this.delegate.ledger().assess(entry.fingerprint()));
		}
		this.verdicts = Map.copyOf(updated);
	}

}
