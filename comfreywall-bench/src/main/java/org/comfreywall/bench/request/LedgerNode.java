package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.control.ledger.ClaimLedger;
import org.comfreywall.control.ledger.ClaimLedgerSettings;
import org.comfreywall.control.ledger.PoisonEntry;
import org.comfreywall.control.ledger.PoisonLedger;
import org.comfreywall.control.ledger.PoisonLedgerSettings;

/**
 * Holds the claim ledger and the poison ledger. Stands for a quorum that never fails but
 * may be unreachable.
 */
final class LedgerNode extends Node {

	/** How long a caller waits for an answer before it repeats a call. */
	static final Duration REPEAT_TIME = Duration.ofMillis(100);

	static final PoisonLedgerSettings POISON = new PoisonLedgerSettings(Duration.ofHours(1), Duration.ofMillis(800),
			Duration.ofSeconds(5), 100_000);

	private static final ClaimLedgerSettings CLAIM_SETTINGS = new ClaimLedgerSettings(Duration.ofHours(24), 1_000_000,
			1024, 256L * 1024 * 1024);

	private final World simulation;

	private final ClaimLedger claims = new ClaimLedger(CLAIM_SETTINGS);

	private final PoisonLedger poison;

	LedgerNode(World simulation) {
		super("ledger", 0);
		this.simulation = simulation;
		this.poison = new PoisonLedger(POISON, (record) -> simulation.listener().onDecision(record));
	}

	ClaimLedger claims() {
		return this.claims;
	}

	PoisonLedger poison() {
		return this.poison;
	}

	boolean release(ClaimKey key, NotRunProof proof) {
		boolean released = this.claims.release(key, proof, logTime()).value().isPresent();
		if (released) {
			this.simulation.observer().released(proof.owner());
		}
		return released;
	}

	Map<Fingerprint, PoisonVerdict> verdicts() {
		Map<Fingerprint, PoisonVerdict> verdicts = new HashMap<>();
		for (PoisonEntry entry : this.poison.snapshot().entries()) {
			verdicts.put(entry.fingerprint(), this.poison.assess(entry.fingerprint()));
		}
		return verdicts;
	}

	/**
	 * Calls the ledger once. The call and its answer are messages, which may be delayed,
	 * lost or duplicated. Answers that arrive after a restart of the caller are dropped.
	 * @param <T> the type of the answer
	 * @param from the caller
	 * @param call the operation to run on the ledger
	 * @param answer receives each copy of the answer
	 */
	<T> void call(Node from, Function<LedgerNode, T> call, Consumer<T> answer) {
		long incarnation = from.life();
		this.simulation.send(from, this, () -> {
			T result = call.apply(this);
			this.simulation.send(this, from, () -> {
				if (from.life() == incarnation) {
					answer.accept(result);
				}
			});
		});
	}

	/**
	 * Repeats a call until the ledger has answered or the caller has stopped or
	 * restarted.
	 * @param <T> the type of the answer
	 * @param from the caller
	 * @param call the operation to run on the ledger, possibly more than once
	 * @param answer receives the first answer only
	 */
	<T> void callUntilAnswered(Node from, Function<LedgerNode, T> call, Consumer<T> answer) {
		callAndRetry(from, call, answer, new AtomicBoolean());
	}

	long logTime() {
		return this.simulation.now();
	}

	private <T> void callAndRetry(Node from, Function<LedgerNode, T> call, Consumer<T> answer, AtomicBoolean answered) {
		call(from, call, (result) -> {
			if (answered.compareAndSet(false, true)) {
				answer.accept(result);
			}
		});
		this.simulation.afterIfSame(from, REPEAT_TIME, () -> {
			if (!answered.get()) {
				callAndRetry(from, call, answer, answered);
			}
		});
	}

	static <T> Function<LedgerNode, Optional<T>> none(Consumer<LedgerNode> action) {
		return (ledger) -> {
			action.accept(ledger);
			return Optional.empty();
		};
	}

}
