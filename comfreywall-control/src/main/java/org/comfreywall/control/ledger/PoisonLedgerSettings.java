package org.comfreywall.control.ledger;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounds of a {@link PoisonLedger}; must be equal on all replicas.
 *
 * @param retention how long a suspicion or quarantine lasts after its last change
 * @param settleTime how long after its last crash a suspect must wait for its isolated
 * run; other runs of it must have ended or been cancelled by then
 * @param slotTime how long an isolated run may hold the slot
 * @param capacity the greatest number of fingerprints remembered
 */
public record PoisonLedgerSettings(Duration retention, Duration settleTime, Duration slotTime, int capacity) {

	/** The settings used when none are given. */
	public static final PoisonLedgerSettings DEFAULT = new PoisonLedgerSettings(Duration.ofHours(24),
			Duration.ofSeconds(15), Duration.ofMinutes(2), 50_000);

	public PoisonLedgerSettings {
		checkPositive(retention, "retention");
		checkPositive(settleTime, "settleTime");
		checkPositive(slotTime, "slotTime");
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
	}

	private static void checkPositive(Duration duration, String name) {
		Preconditions.notNull(duration, name);
		Preconditions.check(!duration.isNegative() && !duration.isZero(), "%s must be positive: %s", name, duration);
	}

}
