package org.comfreywall.entry.retry;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the {@link RetryController}.
 *
 * @param budgetShare the fraction of a retry or hedge that each first attempt adds to the
 * budgets, at least 0 and less than 1
 * @param accountBurst the capacity of the budget of one client account and service, in
 * retries
 * @param serviceBurst the capacity of the budget of one service over all client accounts,
 * in retries
 * @param maxAttempts the maximum number of attempts of one request, including the first
 * one
 * @param firstDelay the maximum delay before the second attempt; doubled for each further
 * attempt
 * @param maxDelay the upper bound of the delay before any attempt
 * @param hedgeQuantile the latency quantile after which a hedge is sent, such as 0.95
 * @param maxBudgets the maximum number of pairs of client account and service tracked
 */
public record RetrySettings(double budgetShare, int accountBurst, int serviceBurst, int maxAttempts,
		Duration firstDelay, Duration maxDelay, double hedgeQuantile, int maxBudgets) {

	/** The default settings. */
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
