package org.comfreywall.control.ledger;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits of a {@link PoisonLedger}; must be equal on all replicas.
 *
 * @param retention how long a fingerprint is kept after its last recorded loss
 * @param settleTime how long after its last recorded loss a suspected fingerprint must
 * wait for its isolated run; must be long enough for its other runs to end or be
 * cancelled
 * @param slotTime how long an isolated run may hold the slot before it counts as a loss
 * @param capacity the maximum number of fingerprints
 */
public record PoisonLedgerSettings(Duration retention, Duration settleTime, Duration slotTime, int capacity) {

	/** The default settings. */
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
