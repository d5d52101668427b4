package org.comfreywall.entry.request;

/**
 * Decides whether a request is tried again.
 * <p>
 * It is asked only when a further attempt would be safe: the request is idempotent, or
 * its attempt was proven not to have run.
 */
@FunctionalInterface
public interface RetryPolicy {

	/**
	 * Decides about one request.
	 * @param query describes the request
	 * @return the decision
	 */
	RetryDecision decide(RetryQuery query);

}
