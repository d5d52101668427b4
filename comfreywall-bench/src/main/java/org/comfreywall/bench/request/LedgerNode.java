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
 * Both ledgers as if on a quorum that never fails but may be out of reach.
 */
final class LedgerNode extends Node {

	/** How long a caller of the ledger waits before it asks again. */
	static final Duration REPEAT_TIME = Duration.ofMillis(100);

	static final PoisonLedgerSettings POISON = new PoisonLedgerSettings(Duration.ofHours(1), Duration.ofMillis(800),
			Duration.ofSeconds(5), 100_000);

	private static final ClaimLedgerSettings CLAIMS = new ClaimLedgerSettings(Duration.ofHours(24), 1_000_000, 1024,
			256L * 1024 * 1024);

	private final World world;

	private final ClaimLedger claims = new ClaimLedger(CLAIMS);

	private final PoisonLedger poison;

	LedgerNode(World world) {
		super("ledger", 0);
		this.world = world;
		this.poison = new PoisonLedger(POISON, (record) -> world.listener().onDecision(record));
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
			this.world.observer().released(proof.owner());
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
	 * Calls the ledger once; the answer may be late or lost.
	 * @param <T> the type of the answer
	 * @param from the caller
	 * @param call the call
	 * @param answer receives each copy of the answer
	 */
	<T> void call(Node from, Function<LedgerNode, T> call, Consumer<T> answer) {
		long life = from.life();
		this.world.send(from, this, () -> {
			T result = call.apply(this);
			this.world.send(this, from, () -> {
				if (from.life() == life) {
					answer.accept(result);
				}
			});
		});
	}

	/**
	 * Calls the ledger until it answers or the caller is gone.
	 * @param <T> the type of the answer
	 * @param from the caller
	 * @param call the call
	 * @param answer receives the first answer
	 */
	<T> void callUntilAnswered(Node from, Function<LedgerNode, T> call, Consumer<T> answer) {
		repeat(from, call, answer, new AtomicBoolean());
	}

	long logTime() {
		return this.world.now();
	}

	private <T> void repeat(Node from, Function<LedgerNode, T> call, Consumer<T> answer, AtomicBoolean answered) {
		call(from, call, (result) -> {
			if (answered.compareAndSet(false, true)) {
				answer.accept(result);
			}
		});
		this.world.afterIfSame(from, REPEAT_TIME, () -> {
			if (!answered.get()) {
				repeat(from, call, answer, answered);
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
