package org.comfreywall.entry.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.request.RetryDecision;
import org.comfreywall.entry.request.RetryPolicy;
import org.comfreywall.entry.request.RetryQuery;

/**
 * Allows retries and hedges as far as budgets and the callers' deadlines go.
 * <p>
 * A retry or hedge must be covered both by the budget of its client account and service
 * and by the budget of the service as a whole. Both start empty and save up a share of a
 * retry with each first attempt, so that attempts stay within that share of the requests
 * whatever fails. Tracks a bounded number of budgets and forgets the one unused for
 * longest. Not safe for use by several threads.
 */
public final class RetryController implements RetryPolicy {

	private static final int MAX_SERVICES = 1024;

	private static final double MEDIAN = 0.5;

	private final RetrySettings settings;

	private final RandomGenerator random;

	private final DecisionListener listener;

	private final Map<BudgetKey, RetryBudget> accountBudgets = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<ServiceId, RetryBudget> serviceBudgets = new HashMap<>();

	private final Map<ServiceId, LatencyHistogram> latencies = new HashMap<>();

	/**
	 * Creates a controller with empty budgets.
	 * @param settings the settings
	 * @param random spreads the delays
	 * @param listener receives a record of each hedge that is allowed or not
	 */
	public RetryController(RetrySettings settings, RandomGenerator random, DecisionListener listener) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.random = Preconditions.notNull(random, "random");
		this.listener = Preconditions.notNull(listener, "listener");
	}

	/**
	 * Notes the first attempt at a request.
	 * @param account the client account
	 * @param service the service
	 */
	public void firstAttempt(AccountId account, ServiceId service) {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(service, "service");
		accountBudget(account, service).firstAttempt();
		serviceBudget(service).firstAttempt();
	}

	/**
	 * Notes how long an answered attempt took.
	 * @param service the service
	 * @param latencyNanos the time from its start to its first part in nanoseconds
	 */
	public void answered(ServiceId service, long latencyNanos) {
		Preconditions.notNull(service, "service");
		if (this.latencies.size() < MAX_SERVICES || this.latencies.containsKey(service)) {
			this.latencies.computeIfAbsent(service, (id) -> new LatencyHistogram()).add(latencyNanos);
		}
	}

	@Override
	public RetryDecision decide(RetryQuery query) {
		Preconditions.notNull(query, "query");
		if (query.attempts() >= this.settings.maxAttempts()) {
			return RetryDecision.stop("attempts-exhausted");
		}
		Duration delay = delay(query.attempts());
		if (delay.toNanos() + typicalLatency(query.service()) >= query.remainingNanos()) {
			return RetryDecision.stop("deadline-too-near");
		}
		boolean sentBefore = query.attempts() > 0;
		if (sentBefore && !spend(query.account(), query.service())) {
			return RetryDecision.stop("retry-budget-exhausted");
		}
		return RetryDecision.after(delay);
	}

	/**
	 * Returns how long to wait for the first part of an answer before a hedge is worth
	 * it.
	 * @param service the service
	 * @return the delay, or empty while too few latencies are known
	 */
	public Optional<Duration> hedgeDelay(ServiceId service) {
		OptionalLong nanos = quantile(service, this.settings.hedgeQuantile());
		return nanos.isPresent() ? Optional.of(Duration.ofNanos(nanos.getAsLong())) : Optional.empty();
	}

	/**
	 * Allows a hedge of an idempotent request whose first attempt is slow, and charges
	 * the budgets for it.
	 * @param request the request
	 * @param account the client account
	 * @param service the service
	 * @param remainingNanos the time until the caller's deadline in nanoseconds
	 * @return {@code true} if the second attempt may be sent
	 */
	public boolean allowsHedge(RequestId request, AccountId account, ServiceId service, long remainingNanos) {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(account, "account");
		Preconditions.notNull(service, "service");
		boolean inTime = typicalLatency(service) < remainingNanos;
		boolean allowed = inTime && spend(account, service);
		if (this.listener != DecisionListener.NONE) {
			String reason = inTime ? "retry-budget" : "deadline";
			this.listener
				.onDecision(DecisionRecord.of(DecisionKind.HEDGE, request.value(), allowed ? "hedge" : "wait-on",
						Field.of("reason", reason), Field.of("remaining-ms", remainingNanos / 1_000_000)));
		}
		return allowed;
	}

	private boolean spend(AccountId account, ServiceId service) {
		RetryBudget ofAccount = accountBudget(account, service);
		RetryBudget ofService = serviceBudget(service);
		if (!ofAccount.canSpend() || !ofService.canSpend()) {
			return false;
		}
		ofAccount.spend();
		ofService.spend();
		return true;
	}

	private Duration delay(int attempts) {
		double longest = this.settings.firstDelay().toNanos() * Math.pow(2, Math.max(0, attempts - 1));
		double bound = Math.min(longest, this.settings.maxDelay().toNanos());
		return Duration.ofNanos((long) (bound * this.random.nextDouble()));
	}

	private long typicalLatency(ServiceId service) {
		return quantile(service, MEDIAN).orElse(0);
	}

	private OptionalLong quantile(ServiceId service, double quantile) {
		LatencyHistogram histogram = this.latencies.get(service);
		return (histogram != null) ? histogram.quantile(quantile) : OptionalLong.empty();
	}

	private RetryBudget accountBudget(AccountId account, ServiceId service) {
		BudgetKey key = new BudgetKey(account, service);
		RetryBudget budget = this.accountBudgets.get(key);
		if (budget == null) {
			budget = new RetryBudget(this.settings.budgetShare(), this.settings.accountBurst());
			this.accountBudgets.put(key, budget);
			if (this.accountBudgets.size() > this.settings.maxBudgets()) {
				this.accountBudgets.remove(this.accountBudgets.keySet().iterator().next());
			}
		}
		return budget;
	}

	private RetryBudget serviceBudget(ServiceId service) {
		return this.serviceBudgets.computeIfAbsent(service,
				(id) -> new RetryBudget(this.settings.budgetShare(), this.settings.serviceBurst()));
	}

}
