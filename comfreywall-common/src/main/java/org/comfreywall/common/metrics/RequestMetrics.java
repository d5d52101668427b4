package org.comfreywall.common.metrics;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.util.Preconditions;

/**
 * Metrics of callers' requests by client account.
 */
public final class RequestMetrics {

	private static final int MAX_ACCOUNTS = 200;

	private static final long NANOS_PER_MICRO = 1000;

	private final MetricRegistry registry;

	private final LabelledHistograms latency = byAccount("latency_us");

	private final LabelledHistograms timeToFirstToken = byAccount("first_token_us");

	private final LabelledHistograms betweenTokens = byAccount("between_tokens_us");

	private final LabelledHistograms queueing = byAccount("queueing_us");

	private final LabelledHistograms retries = byAccount("retries");

	private final LabelledHistograms refusals = byAccount("refusals");

	/**
	 * Creates metrics without values.
	 * @param registry the process's registry, which also counts requests over all
	 * accounts
	 */
	public RequestMetrics(MetricRegistry registry) {
		this.registry = Preconditions.notNull(registry, "registry");
	}

	/**
	 * Records the outcome and latency of a request.
	 * @param account the client account
	 * @param outcome the outcome
	 * @param nanos the time since the request arrived, in nanoseconds
	 */
	public void recordOutcome(AccountId account, Outcome outcome, long nanos) {
		this.registry.counter("requests.ended." + outcome.name()).inc();
		this.latency.update(account.value(), nanos / NANOS_PER_MICRO);
	}

	/**
	 * Records the time to the first chunk of an answer's body.
	 * @param account the client account
	 * @param nanos the time since the request arrived, in nanoseconds
	 */
	public void recordFirstToken(AccountId account, long nanos) {
		this.timeToFirstToken.update(account.value(), nanos / NANOS_PER_MICRO);
	}

	/**
	 * Records the time between two chunks of an answer's body.
	 * @param account the client account
	 * @param nanos the time since the previous chunk, in nanoseconds
	 */
	public void recordNextToken(AccountId account, long nanos) {
		this.betweenTokens.update(account.value(), nanos / NANOS_PER_MICRO);
	}

	/**
	 * Records how long a request was queued for admission.
	 * @param account the client account
	 * @param nanos the time in the queue, in nanoseconds
	 */
	public void recordQueueing(AccountId account, long nanos) {
		this.queueing.update(account.value(), nanos / NANOS_PER_MICRO);
	}

	/**
	 * Records the number of retries of a request.
	 * @param account the client account
	 * @param count the number of retries
	 */
	public void recordRetries(AccountId account, int count) {
		this.registry.counter("requests.retries").inc(count);
		this.retries.update(account.value(), count);
	}

	/**
	 * Records the rejection of a request.
	 * @param account the client account
	 * @param code the error code of the rejection
	 */
	public void recordRejection(AccountId account, ErrorCode code) {
		this.registry.counter("requests.refused." + code.name()).inc();
		this.refusals.update(account.value(), 1);
	}

	/**
	 * Returns all histograms.
	 * @return the histograms
	 */
	public List<LabelledHistograms> histograms() {
		return List.of(this.latency, this.timeToFirstToken, this.betweenTokens, this.queueing, this.retries,
				this.refusals);
	}

	private static LabelledHistograms byAccount(String name) {
		return new LabelledHistograms(name, "account", MAX_ACCOUNTS);
	}

}
