package org.comfreywall.entry.retry;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of retries and hedges.
 *
 * @param budgetShare retries and hedges allowed for each first attempt
 * @param accountBurst the most retries saved up for one client account and service
 * @param serviceBurst the most retries saved up for one service over all client accounts
 * @param maxAttempts the most attempts at one request, the first one included
 * @param firstDelay the longest delay before the second attempt; doubles with each
 * further one
 * @param maxDelay the longest delay before any attempt
 * @param hedgeQuantile the share of answers that are quicker than the delay before a
 * hedge
 * @param maxBudgets the most pairs of client account and service tracked
 */
public record RetrySettings(double budgetShare, int accountBurst, int serviceBurst, int maxAttempts,
		Duration firstDelay, Duration maxDelay, double hedgeQuantile, int maxBudgets) {

	/** The settings used unless others are given. */
	public static final RetrySettings DEFAULT = new RetrySettings(0.07, 5, 10, 3, Duration.ofMillis(50),
			Duration.ofSeconds(2), 0.95, 65_536);

	public RetrySettings {
		Preconditions.check(budgetShare >= 0 && budgetShare < 1, "budgetShare must be in [0, 1): %s", budgetShare);
		Preconditions.check(accountBurst >= 1, "accountBurst must be at least 1: %d", accountBurst);
		Preconditions.check(serviceBurst >= 1, "serviceBurst must be at least 1: %d", serviceBurst);
		Preconditions.check(maxAttempts >= 1, "maxAttempts must be at least 1: %d", maxAttempts);
		Preconditions.notNull(firstDelay, "firstDelay");
		Preconditions.notNull(maxDelay, "maxDelay");
		Preconditions.check(hedgeQuantile > 0 && hedgeQuantile < 1, "hedgeQuantile must be in (0, 1): %s",
				hedgeQuantile);
		Preconditions.check(maxBudgets >= 1, "maxBudgets must be at least 1: %d", maxBudgets);
	}

}
