package org.comfreywall.control.ledger;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits of a {@link ClaimLedger}; must be equal on all replicas.
 *
 * @param retention how long a claim is kept after its creation
 * @param capacity the maximum number of claims
 * @param maxAnswerBytes the maximum body size of one recorded answer, in bytes
 * @param maxStoredBytes the maximum total body size of all recorded answers, in bytes
 */
public record ClaimLedgerSettings(Duration retention, int capacity, int maxAnswerBytes, long maxStoredBytes) {

	/** The default settings. */
	public static final ClaimLedgerSettings DEFAULT = new ClaimLedgerSettings(Duration.ofHours(24), 500_000, 64 * 1024,
			64L * 1024 * 1024);

	public ClaimLedgerSettings {
		Preconditions.notNull(retention, "retention");
		Preconditions.check(!retention.isNegative() && !retention.isZero(), "retention must be positive: %s",
				retention);
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
		Preconditions.check(maxAnswerBytes >= 0, "maxAnswerBytes must not be negative: %d", maxAnswerBytes);
		Preconditions.check(maxStoredBytes >= maxAnswerBytes, "maxStoredBytes must be at least maxAnswerBytes: %d",
				maxStoredBytes);
	}

}
