package org.comfreywall.bench.overload;

/**
 * Receives the outcomes of the attempts of clients.
 */
interface AttemptListener {

	/**
	 * Handles an answer, which may arrive after the deadline.
	 * @param attempt the attempt
	 */
	void onAnswered(ClientAttempt attempt);

	/**
	 * Handles an attempt that was refused at admission or shed from the queue.
	 * @param attempt the attempt
	 * @param retryAfterNanos the time in nanoseconds after which the client may retry
	 */
	void onRefused(ClientAttempt attempt, long retryAfterNanos);

}
