package org.comfreywall.bench.overload;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.entry.request.RetryCause;
import org.comfreywall.entry.request.RetryQuery;
import org.comfreywall.entry.retry.RetryController;
import org.comfreywall.entry.retry.RetrySettings;

/**
 * Simulates a retry storm: requests of which every attempt fails and may be retried.
 */
final class RetryStorm {

	private static final ServiceId SERVICE = ServiceId.of("drafting");

	private static final long REMAINING_DEADLINE_NANOS = 60_000_000_000L;

	private final RandomGenerator random;

	private final RetryController controller;

	private final int accounts;

	RetryStorm(long seed, int accounts) {
		this.random = new SplittableRandom(seed);
		this.controller = new RetryController(RetrySettings.DEFAULT, this.random, DecisionListener.NONE);
		this.accounts = accounts;
	}

	/**
	 * Records requests that succeed at the first attempt, which fills the retry budgets.
	 * @param requests the number of requests
	 */
	void recordHealthyRequests(int requests) {
		for (int i = 0; i < requests; i++) {
			this.controller.recordFirstAttempt(randomAccount(), SERVICE);
			this.controller.recordLatency(SERVICE, this.random.nextLong(100_000_000));
		}
	}

	/**
	 * Runs requests of which every attempt fails and returns the amplification of load.
	 * @param requests the number of requests
	 * @return the mean number of attempts per request
	 */
	double measureAmplification(int requests) {
		long attempts = 0;
		for (int i = 0; i < requests; i++) {
			AccountId account = randomAccount();
			RequestId id = RequestId.of("request-" + i);
			this.controller.recordFirstAttempt(account, SERVICE);
			int requestAttempts = 1;
			while (this.controller
				.decide(new RetryQuery(id, account, SERVICE, requestAttempts, RetryCause.CRASHED,
						REMAINING_DEADLINE_NANOS))
				.allowed()) {
				requestAttempts++;
			}
			attempts += requestAttempts;
		}
		return (double) attempts / requests;
	}

	private AccountId randomAccount() {
		return AccountId.of("account-" + this.random.nextInt(this.accounts));
	}

}
