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
 * Permits retries and hedges within retry budgets and callers' deadlines.
 * <p>
 * A retry or hedge takes a token from the bucket of its client account and service and
 * one from the bucket of the service. Both buckets start empty and gain a fraction of a
 * token with each first attempt, so that retries and hedges never exceed that fraction of
 * the requests, even if every attempt fails. Tracks a bounded number of account budgets
 * and evicts the least recently used one. Not thread-safe.
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
	 * @param random the source of jitter for the delays
	 * @param listener receives a record of each hedge decision
	 */
	public RetryController(RetrySettings settings, RandomGenerator random, DecisionListener listener) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.random = Preconditions.notNull(random, "random");
		this.listener = Preconditions.notNull(listener, "listener");
	}

	/**
	 * Records the first attempt of a request, which adds to the budgets.
	 * @param account the client account
	 * @param service the service
	 */
	public void recordFirstAttempt(AccountId account, ServiceId service) {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(service, "service");
		accountBudget(account, service).recordFirstAttempt();
		serviceBudget(service).recordFirstAttempt();
	}

	/**
	 * Records the latency of an answered attempt.
	 * @param service the service
	 * @param latencyNanos the time from the start of the attempt to the first part of its
	 * answer, in nanoseconds
	 */
	public void recordLatency(ServiceId service, long latencyNanos) {
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
		Duration delay = jitteredDelay(query.attempts());
		if (delay.toNanos() + typicalLatency(query.service()) >= query.remainingNanos()) {
			return RetryDecision.stop("deadline-too-near");
		}
		boolean isRetry = query.attempts() > 0;
		if (isRetry && !spendBudgets(query.account(), query.service())) {
			return RetryDecision.stop("retry-budget-exhausted");
		}
		return RetryDecision.after(delay);
	}

	/**
	 * Returns how long to wait for the first part of an answer before sending a hedge.
	 * @param service the service
	 * @return the delay, or empty while too few latencies were recorded
	 */
	public Optional<Duration> hedgeDelay(ServiceId service) {
		OptionalLong nanos = quantile(service, this.settings.hedgeQuantile());
		return nanos.isPresent() ? Optional.of(Duration.ofNanos(nanos.getAsLong())) : Optional.empty();
	}

	/**
	 * Decides whether an idempotent request whose first attempt is slow may be hedged. If
	 * so, a token is taken from both budgets.
	 * @param request the request
	 * @param account the client account
	 * @param service the service
	 * @param remainingNanos the time until the caller's deadline, in nanoseconds
	 * @return {@code true} if the hedge may be sent
	 */
	public boolean acquireHedge(RequestId request, AccountId account, ServiceId service, long remainingNanos) {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(account, "account");
		Preconditions.notNull(service, "service");
		boolean inTime = typicalLatency(service) < remainingNanos;
		boolean allowed = inTime && spendBudgets(account, service);
		if (this.listener != DecisionListener.NONE) {
			String reason = inTime ? "retry-budget" : "deadline";
			this.listener
				.onDecision(DecisionRecord.of(DecisionKind.HEDGE, request.value(), allowed ? "hedge" : "wait-on",
						Field.of("reason", reason), Field.of("remaining-ms", remainingNanos / 1_000_000)));
		}
		return allowed;
	}

	private boolean spendBudgets(AccountId account, ServiceId service) {
		RetryBudget accountBudget = accountBudget(account, service);
		RetryBudget serviceBudget = serviceBudget(service);
		if (!accountBudget.canSpend() || !serviceBudget.canSpend()) {
			return false;
		}
		accountBudget.spend();
		serviceBudget.spend();
		return true;
	}

	private Duration jitteredDelay(int attempts) {
		double uncapped = this.settings.firstDelay().toNanos() * Math.pow(2, Math.max(0, attempts - 1));
		double bound = Math.min(uncapped, this.settings.maxDelay().toNanos());
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
