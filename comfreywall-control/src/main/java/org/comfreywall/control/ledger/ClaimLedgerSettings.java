package org.comfreywall.control.ledger;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounds of a {@link ClaimLedger}; must be equal on all replicas.
 *
 * @param retention how long a claim is remembered, counted from the claim
 * @param capacity the greatest number of claims remembered
 * @param maxAnswerBytes the greatest body of one recorded answer, in bytes
 * @param maxStoredBytes the greatest sum of the bodies of all recorded answers, in bytes
 */
public record ClaimLedgerSettings(Duration retention, int capacity, int maxAnswerBytes, long maxStoredBytes) {

	/** The settings used when none are given. */
	public static final ClaimLedgerSettings DEFAULT = new ClaimLedgerSettings(Duration.ofHours(24), 500_000, 64 * 1024,
			64L * 1024 * 1024);

	public ClaimLedgerSettings {
		Preconditions.notNull(retention, "retention");
		Preconditions.check(!retention.isNegative() && !retention.isZero(), "retention must be positive: %s",
				retention);
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
		Preconditions.check(maxAnswerBytes >= 0, "maxAnswerBytes must not be negative: %d", maxAnswerBytes);
		Preconditions.check(maxStoredBytes >= maxAnswerBytes, "maxStoredBytes must hold at least one answer: %d",
				maxStoredBytes);
	}

}
