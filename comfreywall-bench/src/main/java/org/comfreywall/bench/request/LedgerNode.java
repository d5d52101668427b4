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
	static final Duration RETRY_INTERVAL = Duration.ofMillis(100);

	static final PoisonLedgerSettings POISON_SETTINGS = new PoisonLedgerSettings(Duration.ofHours(1),
			Duration.ofMillis(800), Duration.ofSeconds(5), 100_000);

	private static final ClaimLedgerSettings CLAIM_SETTINGS = new ClaimLedgerSettings(Duration.ofHours(24), 1_000_000,
			1024, 256L * 1024 * 1024);

	private final Simulation simulation;

	private final ClaimLedger claimLedger = new ClaimLedger(CLAIM_SETTINGS);

	private final PoisonLedger poisonLedger;

	LedgerNode(Simulation simulation) {
		super("ledger", 0);
		this.simulation = simulation;
		this.poisonLedger = new PoisonLedger(POISON_SETTINGS,
				(record) -> simulation.decisionListener().onDecision(record));
	}

	ClaimLedger claimLedger() {
		return this.claimLedger;
	}

	PoisonLedger poisonLedger() {
		return this.poisonLedger;
	}

	boolean releaseClaim(ClaimKey key, NotRunProof proof) {
		boolean released = this.claimLedger.release(key, proof, logTime()).value().isPresent();
		if (released) {
			this.simulation.ruleChecker().recordClaimRelease(proof.owner());
		}
		return released;
	}

	Map<Fingerprint, PoisonVerdict> poisonVerdicts() {
		Map<Fingerprint, PoisonVerdict> verdicts = new HashMap<>();
		for (PoisonEntry entry : this.poisonLedger.snapshot().entries()) {
			verdicts.put(entry.fingerprint(), this.poisonLedger.assess(entry.fingerprint()));
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
		long incarnation = from.incarnationNumber();
		this.simulation.send(from, this, () -> {
			T result = call.apply(this);
			this.simulation.send(this, from, () -> {
				if (from.incarnationNumber() == incarnation) {
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
	<T> void callWithRetries(Node from, Function<LedgerNode, T> call, Consumer<T> answer) {
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
		this.simulation.scheduleUnlessRestarted(from, RETRY_INTERVAL, () -> {
			if (!answered.get()) {
				callAndRetry(from, call, answer, answered);
			}
		});
	}

	static <T> Function<LedgerNode, Optional<T>> returningEmpty(Consumer<LedgerNode> action) {
		return (ledger) -> {
			action.accept(ledger);
			return Optional.empty();
		};
	}

}
