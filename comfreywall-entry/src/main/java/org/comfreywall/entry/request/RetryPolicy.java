package org.comfreywall.entry.request;

/**
 * Decides whether a request is retried.
 * <p>
 * Called only when another attempt is safe: the request is idempotent, or its attempts
 * provably did not run.
 */
@FunctionalInterface
public interface RetryPolicy {

	/**
	 * Decides whether another attempt may be made, and after which delay.
	 * @param query the request and the cause of the retry
	 * @return the decision
	 */
	RetryDecision decide(RetryQuery query);

}
